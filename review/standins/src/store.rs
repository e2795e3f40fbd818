//! A stand-in of the platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message, response},
    json::Json,
};

#[derive(Clone, Debug)]
struct StoredItem {
    /// The value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// All changes; `None` is a removal.
    history: Vec<(u64, String, Option<StoredItem>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A store that runs until the process ends.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port binds");
        let address = listener.local_addr().expect("listener has an address");
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store =
            Self { address, state: Arc::new((state.into(), Condvar::new())) };
        let (accepting, expiring) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.lock().expire_leases();
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as an operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().write(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().expect("lock is not poisoned")
    }

    fn serve(&self, stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        // Callers may disconnect at any time.
        while let Ok(Some(request)) = read_message(&mut stream) {
            let reply = self.reply(&request);
            if stream.get_mut().write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn reply(&self, request: &Message) -> String {
        let (path, query) =
            request.path().split_once('?').unwrap_or((request.path(), ""));
        let query = parse_query(query);
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        match path {
            "/v1/kv-key" => self.lock().read(text("key")),
            "/v1/kv-range" => {
                self.lock().range(text("path_prefix"), text("after"))
            }
            "/v1/kv-watch" => {
                let number = |name: &str| text(name).parse().unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(text("path_prefix"), number("after"), wait)
            }
            "/v1/kv-txn" => {
                let reply = self.lock().commit(&body);
                self.state.1.notify_all();
                reply
            }
            "/v1/kv-lease" => self.lock().open_lease(&body),
            path => {
                let reply = self.lock().lease_call(path);
                self.state.1.notify_all();
                reply
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events = state.events(prefix, after);
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let revision = state.revision;
                return ok(&format!(
                    "{{\"events\":[{events}],\"current_rev\":{revision}}}"
                ));
            }
            let wait = self.state.1.wait_timeout(state, end - now);
            state = wait.expect("lock is not poisoned").0;
        }
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = StoredItem { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> String {
        let changes = self.history.iter().filter(|(revision, key, _)| {
            *revision > after && key.starts_with(prefix)
        });
        let events = changes.map(|(revision, key, item)| match item {
            Some(item) => item_json(key, item),
            None => format!(
                "{{\"key\":\"{key}\",\"revision\":{revision},\
                 \"tombstone\":true}}"
            ),
        });
        events.collect::<Vec<_>>().join(",")
    }

    fn read(&self, key: &str) -> String {
        match self.items.get(key) {
            Some(item) => ok(&item_json(key, item)),
            None => response("404 Not Found", "", ""),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| {
            key.starts_with(prefix)
                && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> =
            items.map(|(key, item)| item_json(key, item)).collect();
        let (items, revision) = (items.join(","), self.revision);
        ok(&format!(
            "{{\"items\":[{items}],\"truncated\":false,\
             \"current_rev\":{revision}}}"
        ))
    }

    fn commit(&mut self, body: &Json) -> String {
        self.expire_leases();
        let is_met = body.get("precondition").list().iter().all(|row| {
            let known = self.items.get(row.get("key").text());
            known.map_or(0, |i| i.revision) == row.get("revision").number()
        });
        if !is_met {
            return response("412 Precondition Failed", "", "{\"items\":[]}");
        }
        let writes = body.get("writes").list();
        let has_lease = |write: &Json| {
            let lease = write.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return response("404 Not Found", "", "");
        }
        for write in writes {
            let value = write.get("value").text().to_owned();
            let lease = write.get("lease").number();
            self.write(write.get("key").text(), value, lease);
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        ok(&format!("{{\"revision\":{}}}", self.revision))
    }

    fn open_lease(&mut self, body: &Json) -> String {
        let text = body.get("ttl_time").text();
        let Some(ttl) = parse_span(text) else {
            return response("400 Bad Request", "", "");
        };
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, (Instant::now() + ttl, ttl));
        ok(&format!("{{\"lease\":{lease},\"ttl_time\":\"{text}\"}}"))
    }

    fn lease_call(&mut self, path: &str) -> String {
        self.expire_leases();
        let (call, lease) = path.rsplit_once('/').unwrap_or(("", ""));
        let lease: u64 = lease.parse().unwrap_or(0);
        if call == "/v1/kv-lease-end" {
            self.end_lease(lease);
            return ok("{}");
        }
        match self.leases.get_mut(&lease) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let ttl = ttl.as_millis();
                ok(&format!("{{\"ttl_time\":\"{ttl}ms\"}}"))
            }
            None => response("404 Not Found", "", ""),
        }
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    let StoredItem { value, revision, created, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":{lease}}}"
    )
}

fn ok(body: &str) -> String {
    response("200 OK", "Content-Type: application/json\r\n", body)
}

/// Parses a time such as `1500ms` or `2.5s`.
pub fn parse_span(text: &str) -> Option<Duration> {
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let seconds = number.parse::<f64>().ok()? * factor;
    Duration::try_from_secs_f64(seconds).ok()
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect()
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|c| std::str::from_utf8(c).ok());
        let code = code.and_then(|c| u8::from_str_radix(c, 16).ok());
        match code.filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0_u32;
        for position in 0..3 {
            let byte = group.get(position).copied().unwrap_or(0);
            word = word << 8 | u32::from(byte);
        }
        for position in 0..4 {
            let digit = (word >> (18 - 6 * position) & 63) as usize;
            let is_used = position <= group.len();
            text.push(if is_used { DIGITS[digit] as char } else { '=' });
        }
    }
    text
}
