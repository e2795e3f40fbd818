//! A stand-in of a backend server of a service that is divided by key.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_message, response},
    json::Json,
    record::Record,
    store::{Store, parse_span},
};

pub const KEYS: usize = 65_536;

/// How often a server writes its entry.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(870);

/// How a server is set up.
#[derive(Clone, Copy, Debug)]
pub struct ServerShape {
    pub slots: usize,
    /// Requests that may wait for a slot; more are refused.
    pub queue: usize,
    /// How long the work on a request takes on average.
    pub work: Duration,
    /// The same for a request that may run once only.
    pub unsafe_work: Duration,
}

/// The wrong bytes that a faulty server sends: a second copy of one of its
/// responses, which arrives where the next response is expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraResponse {
    /// The copy of an order's response, where a release's is expected.
    ToRelease,
    /// The copy of a refusal, where the response to the same attempt's next
    /// send is expected.
    ToResend,
}

/// The most extra responses, as a share of the responses that the server has
/// sent since it became faulty. What is left lapses when the fault ends.
const MAX_EXTRA_SHARE: f64 = 0.03;

/// A time in which a server is faulty.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpell {
    extra: ExtraResponse,
    until: Instant,
    /// The responses that it sent in this time, without extra ones.
    pub responses: u64,
    pub extras: u64,
}

/// Work on one request.
#[derive(Clone, Debug)]
struct Run {
    number: u64,
    attempt: String,
    key: usize,
}

/// What a server knows of one key.
#[derive(Clone, Copy, Debug, Default)]
struct KeyState {
    /// The highest token of an order for the key.
    token: u64,
    /// The end of the last grant, also once the key is released.
    granted_until: Option<Instant>,
    /// Whether the key is held until then.
    is_held: bool,
}

#[derive(Debug)]
struct ServerState {
    keys: Vec<KeyState>,
    running: Vec<Run>,
    waiting: usize,
    next_run: u64,
    handovers: u64,
    /// The releases that wait for the end of running work.
    releases: usize,
    is_draining: bool,
}

/// A server that runs until the process ends.
#[derive(Debug)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub born_ms: u64,
    shape: ServerShape,
    state: Mutex<ServerState>,
    changed: Condvar,
    /// All servers of the service, to judge the grants.
    fleet: Mutex<Vec<Weak<Server>>>,
    /// The attempts that it began to work on.
    runs: Mutex<Vec<String>>,
    /// The times in which it was faulty; the last may last still.
    spells: Mutex<Vec<FaultSpell>>,
    record: Arc<Record>,
    beats: AtomicBool,
}

/// What a connection remembers of its last response.
#[derive(Debug, Default)]
struct LastResponse {
    attempt: String,
    is_order: bool,
    is_refusal: bool,
    text: String,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Server {
    pub fn open(
        id: &str,
        zone: &'static str,
        shape: ServerShape,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port binds");
        let address = listener.local_addr().expect("listener has an address");
        let state = ServerState {
            keys: vec![KeyState::default(); KEYS],
            running: Vec::new(),
            waiting: 0,
            next_run: 0,
            handovers: 0,
            releases: 0,
            is_draining: false,
        };
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone,
            born_ms: unix_ms(),
            shape,
            state: state.into(),
            changed: Condvar::new(),
            fleet: Mutex::default(),
            runs: Mutex::default(),
            spells: Mutex::default(),
            record,
            beats: AtomicBool::new(true),
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    pub fn set_fleet(&self, servers: &[Arc<Self>]) {
        let mut fleet = self.fleet.lock().expect("lock is not poisoned");
        *fleet = servers.iter().map(Arc::downgrade).collect();
    }

    /// Writes its entry with each heartbeat.
    pub fn register(self: &Arc<Self>, store: &Store, service: &'static str) {
        let (server, store) = (Arc::clone(self), store.clone());
        thread::spawn(move || {
            let mut beat = 0_u64;
            while server.beats.load(Ordering::Relaxed) {
                beat += 1;
                let is_draining = server.lock().is_draining;
                let state = if is_draining { "draining" } else { "ready" };
                let entry = server.entry(service, state, beat);
                store.put(&format!("servers/{}", server.id), &entry);
                // A change of its state is written at once.
                let end = Instant::now() + BEAT_INTERVAL;
                while Instant::now() < end
                    && server.lock().is_draining == is_draining
                {
                    thread::sleep(Duration::from_millis(10));
                }
            }
        });
    }

    pub fn entry(&self, service: &str, state: &str, beat: u64) -> String {
        let Self { address, born_ms, zone, shape, .. } = self;
        let slots = shape.slots;
        format!(
            "{{\"address\":\"{address}\",\"born\":{born_ms},\"info\":{{\
             \"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\
             \"state\":\"{state}\",\"seq\":{beat},\"cold_left\":\"0ms\"}}}}"
        )
    }

    pub fn drain(&self) {
        self.record.add(&format!("{} reports that it is draining", self.id));
        self.lock().is_draining = true;
    }

    /// Sends extra responses for some time.
    pub fn send_extra(&self, extra: ExtraResponse, lasts: Duration) {
        let line = format!("{} is faulty for {lasts:?}", self.id);
        self.record.add(&line);
        let until = Instant::now() + lasts;
        let spell = FaultSpell { extra, until, responses: 0, extras: 0 };
        self.lock_spells().push(spell);
    }

    /// The times in which it was faulty.
    pub fn fault_spells(&self) -> Vec<FaultSpell> {
        self.lock_spells().clone()
    }

    fn lock_spells(&self) -> MutexGuard<'_, Vec<FaultSpell>> {
        self.spells.lock().expect("lock is not poisoned")
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("lock is not poisoned").clone()
    }

    pub fn holds(&self, key: usize) -> bool {
        self.lock().holds(key, Instant::now())
    }

    /// Of some keys, those that it holds now.
    pub fn held_of(&self, keys: &[usize]) -> Vec<bool> {
        let (state, now) = (self.lock(), Instant::now());
        keys.iter().map(|key| state.holds(*key, now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("lock is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let mut last = LastResponse::default();
        // Callers may disconnect at any time.
        while let Ok(Some(request)) = read_message(&mut stream) {
            if let Some(extra) = self.extra_for(&request, &last) {
                let sent = stream.get_mut().write_all(extra.as_bytes());
                self.record.add(&format!(
                    "{} sends a second copy of its last response where the \
                     response to {} {} is expected: {}",
                    self.id,
                    request.path(),
                    request.header("x-attempt-id").unwrap_or("(an order)"),
                    extra.lines().next().unwrap_or("")
                ));
                if sent.is_err() {
                    return;
                }
            }
            let text = self.respond(&request);
            let attempt = request.header("x-attempt-id").unwrap_or("");
            last = LastResponse {
                attempt: attempt.to_owned(),
                is_order: request.path().starts_with("/v1/"),
                is_refusal: text.contains("X-Not-Executed"),
                text: text.clone(),
            };
            self.count_response();
            if stream.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn count_response(&self) {
        let now = Instant::now();
        if let Some(spell) = self.lock_spells().last_mut()
            && spell.until > now
        {
            spell.responses += 1;
        }
    }

    /// The extra response to send before the response to a request.
    fn extra_for(
        &self,
        request: &Message,
        last: &LastResponse,
    ) -> Option<String> {
        let mut spells = self.lock_spells();
        let spell = spells.last_mut()?;
        let fits = match spell.extra {
            ExtraResponse::ToRelease => {
                request.path() == "/v1/release"
                    && last.is_order
                    && self.is_at_work(request)
            }
            ExtraResponse::ToResend => {
                last.is_refusal
                    && request.header("x-attempt-id") == Some(&last.attempt)
            }
        };
        let allowed = MAX_EXTRA_SHARE * spell.responses as f64;
        let is_over = spell.until <= Instant::now();
        if !fits || is_over || (spell.extras + 1) as f64 > allowed {
            return None;
        }
        spell.extras += 1;
        Some(last.text.clone())
    }

    /// Whether it is at work on keys that an order names.
    fn is_at_work(&self, request: &Message) -> bool {
        parse_order(request).is_some_and(|((first, last), ..)| {
            let state = self.lock();
            let mut running = state.running.iter();
            running.any(|run| (first..=last).contains(&run.key))
        })
    }

    /// Whether a release waits for the end of running work.
    pub fn is_releasing(&self) -> bool {
        self.lock().releases > 0
    }

    fn respond(&self, request: &Message) -> String {
        if request.path() == "/health" {
            let id = format!("X-Instance-Id: {}\r\n", self.id);
            return response("200 OK", &id, "");
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers =
                format!("X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n", self.id);
            return response("421 Misdirected Request", &headers, "");
        }
        match request.path() {
            "/v1/grant" => self.grant(request),
            "/v1/release" => self.release(request),
            _ => self.run(request),
        }
    }

    fn grant(&self, request: &Message) -> String {
        let Some((range, token, order)) = parse_order(request) else {
            return response("400 Bad Request", "", "");
        };
        let Some(span) = parse_span(order.get("hold_time").text()) else {
            return response("400 Bad Request", "", "");
        };
        let now = Instant::now();
        let is_new = {
            let mut state = self.lock();
            let keys = &mut state.keys[range.0..=range.1];
            if keys.iter().any(|key| key.token > token) {
                return response("409 Conflict", "", "");
            }
            let is_new = keys.iter().any(|key| !key.is_held);
            for key in keys {
                *key = KeyState {
                    token,
                    granted_until: Some(now + span),
                    is_held: true,
                };
            }
            is_new
        };
        if is_new {
            self.record.add(&format!(
                "{} is granted keys {} to {} with token {token}",
                self.id, range.0, range.1
            ));
            self.judge_grant(range, now);
        }
        response("200 OK", "", "")
    }

    /// Checks that no other server is at work on the keys that this one was
    /// granted, before that one's grant would have expired.
    fn judge_grant(&self, range: (usize, usize), now: Instant) {
        let fleet = self.fleet.lock().expect("lock is not poisoned").clone();
        for other in fleet.iter().filter_map(Weak::upgrade) {
            if other.id == self.id {
                continue;
            }
            let state = other.lock();
            for run in &state.running {
                let until = state.keys[run.key].granted_until;
                if (range.0..=range.1).contains(&run.key)
                    && let Some(until) = until.filter(|until| *until > now)
                {
                    self.record.violation(&format!(
                        "OWNER: {} was granted key {} while {} is at work on \
                         it for attempt {}; the grant of {} lasts {} ms more",
                        self.id,
                        run.key,
                        other.id,
                        run.attempt,
                        other.id,
                        (until - now).as_millis()
                    ));
                }
            }
        }
    }

    /// Stops new work on the keys at once, and responds when the running work
    /// on them has ended.
    fn release(&self, request: &Message) -> String {
        let Some((range, token, _order)) = parse_order(request) else {
            return response("400 Bad Request", "", "");
        };
        let began_at = Instant::now();
        let mut state = self.lock();
        let mut released = 0;
        for key in &mut state.keys[range.0..=range.1] {
            released += usize::from(key.is_held);
            key.token = key.token.max(token);
            key.is_held = false;
        }
        let at_work = |state: &ServerState| {
            let keys = range.0..=range.1;
            state.running.iter().filter(|r| keys.contains(&r.key)).count()
        };
        self.record.add(&format!(
            "{} releases {released} keys of {} to {} with token {token}; it \
             is at work on {} requests for them",
            self.id,
            range.0,
            range.1,
            at_work(&state)
        ));
        state.releases += 1;
        while at_work(&state) > 0 {
            state = self.changed.wait(state).expect("lock is not poisoned");
        }
        state.releases -= 1;
        state.handovers += 1;
        let (id, handover) = (&self.id, state.handovers);
        self.record.add(&format!(
            "{id} responds to the release after {} ms",
            began_at.elapsed().as_millis()
        ));
        response("200 OK", &format!("X-Handover: {id}-{handover}\r\n"), "")
    }

    fn run(&self, request: &Message) -> String {
        let Some(attempt) = request.header("x-attempt-id") else {
            let refusal = "X-Not-Executed: 1\r\n";
            return response("400 Bad Request", refusal, "");
        };
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        let refusal = format!("{echo}X-Not-Executed: 1\r\n");
        let refuse = |status: &str| response(status, &refusal, "");
        let key = request.header("x-shard-key");
        let Some(key) = key.and_then(|key| key.parse::<u16>().ok()) else {
            return refuse("421 Misdirected Request");
        };
        let key = usize::from(key);
        let deadline = request.header("x-deadline-ms");
        let deadline = deadline.and_then(|text| text.parse().ok());
        let deadline =
            Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
        let Some(number) = self.begin(attempt, key, deadline) else {
            let held = self.holds(key);
            return refuse(if held {
                "503 Service Unavailable"
            } else {
                "421 Misdirected Request"
            });
        };
        let is_unsafe = request.line.starts_with("POST");
        thread::sleep(self.work_time(attempt, is_unsafe));
        let in_time = {
            let mut state = self.lock();
            state.running.retain(|run| run.number != number);
            self.changed.notify_all();
            let until = state.keys[key].granted_until;
            until.is_some_and(|until| until > Instant::now())
        };
        self.record.add(&format!("{} ends its work on {attempt}", self.id));
        let stamp =
            format!("{echo}X-Response-Stamp: {}.{number}\r\n", self.id);
        if in_time {
            response("200 OK", &stamp, &format!("{} {attempt}", self.id))
        } else {
            response("500 Internal Server Error", &stamp, "")
        }
    }

    /// How long the work on an attempt takes: half to one and a half times the
    /// mean.
    fn work_time(&self, attempt: &str, is_unsafe: bool) -> Duration {
        let sum: u32 = attempt.bytes().map(u32::from).sum();
        let ServerShape { work, unsafe_work, .. } = self.shape;
        let mean = if is_unsafe { unsafe_work } else { work };
        mean * (50 + sum % 101) / 100
    }

    /// Waits for a slot and begins to work; `None` if the request is refused.
    fn begin(
        &self,
        attempt: &str,
        key: usize,
        deadline: Instant,
    ) -> Option<u64> {
        let mut state = self.lock();
        if !state.holds(key, Instant::now()) {
            return None;
        }
        let is_full = |state: &ServerState| {
            state.running.len() + state.waiting
                >= self.shape.slots + self.shape.queue
        };
        if is_full(&state) {
            self.record.add(&format!("{} is full: {attempt}", self.id));
            return None;
        }
        state.waiting += 1;
        while state.running.len() >= self.shape.slots {
            let now = Instant::now();
            if now >= deadline {
                break;
            }
            let wait = self.changed.wait_timeout(state, deadline - now);
            state = wait.expect("lock is not poisoned").0;
        }
        state.waiting -= 1;
        let has_slot = state.running.len() < self.shape.slots;
        if !has_slot || !state.holds(key, Instant::now()) {
            return None;
        }
        state.next_run += 1;
        let number = state.next_run;
        let attempt = attempt.to_owned();
        self.record.add(&format!("{} runs {attempt} for key {key}", self.id));
        let mut runs = self.runs.lock().expect("lock is not poisoned");
        runs.push(attempt.clone());
        state.running.push(Run { number, attempt, key });
        Some(number)
    }
}

impl ServerState {
    fn holds(&self, key: usize, now: Instant) -> bool {
        let key = &self.keys[key];
        key.is_held && key.granted_until.is_some_and(|until| until > now)
    }
}

/// The range, the token and the fields of an order.
fn parse_order(request: &Message) -> Option<((usize, usize), u64, Json)> {
    let order = Json::parse(&request.body_text())?;
    let first = order.get("from").number() as usize;
    let last = order.get("target").number() as usize;
    let token = order.get("fence").number();
    (first <= last && last < KEYS).then_some(((first, last), token, order))
}
