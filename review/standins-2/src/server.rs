//! A backend server of a service whose keys are not divided.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http::Head, record::Record, store::Store};

/// The requests that wait for a slot.
const QUEUE: usize = 8;

/// How often a server writes its entry.
const BEAT_INTERVAL: Duration = Duration::from_millis(870);

/// What a server does with a request whose head has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Treatment {
    /// It reads the body, works this long and answers.
    Work(Duration),
    /// It rejects a long request before its body is in, keeps the connection
    /// and reads on, this many bytes a second.
    RejectEarly { per_s: usize },
}

/// The plan of a server: what it does with a request of this path.
pub type Plan = Arc<dyn Fn(&str) -> Treatment + Send + Sync>;

/// A request as its server saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub path: String,
    /// The time since the start of the trial.
    pub at: Duration,
    pub has_run: bool,
}

/// A running server; a clone refers to the same one.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    record: Record,
    store: Store,
    service: String,
    born: u64,
    slots: usize,
    plan: Plan,
    leaving: AtomicBool,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<HashMap<String, Arrival>>,
    load: Mutex<Load>,
    freed: Condvar,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

impl Server {
    pub fn open(
        record: &Record,
        store: &Store,
        service: &str,
        id: &str,
        slots: usize,
        receive_buffer: Option<usize>,
        plan: Plan,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if let Some(bytes) = receive_buffer {
            crate::socket::set_receive_buffer(&listener, bytes)?;
        }
        let address = listener.local_addr()?;
        let now = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let shared = Shared {
            record: record.clone(),
            store: store.clone(),
            service: service.into(),
            born: u64::try_from(now.as_millis()).unwrap_or(0),
            slots,
            plan,
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            arrivals: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
        };
        let server =
            Self { id: id.into(), address, shared: Arc::new(shared) };
        let acceptor = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.has_ended() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    acceptor.streams().push(copy);
                }
                let server = acceptor.clone();
                thread::spawn(move || {
                    // The caller has closed the connection.
                    let _ended = server.serve(&stream);
                });
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            for seq in 1.. {
                if beating.has_ended() {
                    return;
                }
                beating.beat(seq);
                thread::sleep(BEAT_INTERVAL);
            }
        });
        Ok(server)
    }

    /// Reports that the server drains; returns when the store has accepted
    /// that. It goes on serving.
    pub fn drain(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
        self.beat(1_000_000);
    }

    /// Ends the server, as the exit of its process does.
    pub fn exit(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        self.shared.store.remove(&format!("servers/{}", self.id));
        for stream in self.streams().drain(..) {
            // The caller has closed it before.
            let _closed = stream.shutdown(Shutdown::Both);
        }
        // Wakes the acceptor, which then closes the listener.
        let _woken = TcpStream::connect(self.address);
        self.shared.record.line(format!("server {} exits", self.id));
    }

    fn has_ended(&self) -> bool {
        self.shared.ended.load(Ordering::SeqCst)
    }

    fn streams(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.shared.streams.lock().expect("no holder panicked")
    }

    pub fn arrivals(&self) -> HashMap<String, Arrival> {
        self.locked_arrivals().clone()
    }

    fn locked_arrivals(&self) -> MutexGuard<'_, HashMap<String, Arrival>> {
        self.shared.arrivals.lock().expect("no holder panicked")
    }

    fn beat(&self, seq: u64) {
        let Shared { service, born, slots, leaving, .. } = &*self.shared;
        let leaves = leaving.load(Ordering::SeqCst);
        let unheard = self.shared.store.is_silent();
        if unheard || leaves && seq < 1_000_000 {
            return;
        }
        let state = if leaves { "draining" } else { "ready" };
        let entry = format!(
            "{{\"address\":\"{}\",\"born\":{born},\"info\":{{\"service\":\
             \"{service}\",\"version\":\"v1\",\"zone\":\"north-a\",\
             \"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\
             \"seq\":{seq},\"cold_left\":\"0ms\"}}}}",
            self.address
        );
        self.shared.store.write(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let path = head.word(1).to_owned();
            let attempt = head.get("x-attempt-id").unwrap_or("").to_owned();
            let expected = head.get("x-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                head.read_body(&mut reader, false, |_| {})?;
                self.answer(stream, "421 Misdirected Request", "", "", "")?;
                continue;
            }
            let at = self.shared.record.elapsed();
            let arrival = Arrival { path: path.clone(), at, has_run: false };
            self.locked_arrivals().insert(attempt.clone(), arrival);
            let deadline = head.get("x-deadline-ms").unwrap_or("none");
            self.shared.record.line(format!(
                "server {} gets {attempt} ({path}), deadline {deadline} ms",
                self.id
            ));
            match (self.shared.plan)(&path) {
                Treatment::RejectEarly { per_s } => {
                    self.reject(stream, &attempt)?;
                    let began_at = Instant::now();
                    let mut read = 0;
                    head.read_body(&mut reader, false, |piece| {
                        read += piece.len();
                        let due = read as f64 / per_s as f64;
                        let due = Duration::from_secs_f64(due);
                        thread::sleep(due.saturating_sub(began_at.elapsed()));
                    })?;
                    self.shared.record.line(format!(
                        "server {} has read the rest of {attempt}",
                        self.id
                    ));
                }
                Treatment::Work(span) => {
                    let bytes = head.read_body(&mut reader, false, |_| {})?;
                    if !self.take_slot() {
                        self.reject(stream, &attempt)?;
                        continue;
                    }
                    if let Some(arrival) =
                        self.locked_arrivals().get_mut(&attempt)
                    {
                        arrival.has_run = true;
                    }
                    self.shared.record.line(format!(
                        "server {} runs {attempt}, {bytes} bytes",
                        self.id
                    ));
                    thread::sleep(span);
                    self.free_slot();
                    self.answer(stream, "200 OK", &attempt, "s", "done")?;
                }
            }
        }
        Ok(())
    }

    fn reject(&self, stream: &TcpStream, attempt: &str) -> io::Result<()> {
        self.shared
            .record
            .line(format!("server {} rejects {attempt}", self.id));
        self.answer(stream, "503 Service Unavailable", attempt, "", "")
    }

    fn answer(
        &self,
        mut stream: &TcpStream,
        status: &str,
        attempt: &str,
        stamp: &str,
        body: &str,
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\n");
        if !attempt.is_empty() {
            head.push_str(&format!("X-Attempt-Id: {attempt}\r\n"));
        }
        if stamp.is_empty() {
            head.push_str("X-Not-Executed: 1\r\n");
        } else {
            head.push_str(&format!("X-Response-Stamp: {stamp}\r\n"));
        }
        let length = body.len();
        head.push_str(&format!(
            "X-Instance-Id: {}\r\nKeep-Alive: timeout=10\r\n\
             Content-Length: {length}\r\n\r\n{body}",
            self.id
        ));
        stream.write_all(head.as_bytes())
    }

    /// Takes a slot, or returns false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.shared.load.lock().expect("no holder panicked");
        if load.running >= self.shared.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.shared.slots {
            load = self.shared.freed.wait(load).expect("no holder panicked");
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.shared.load.lock().expect("no holder panicked").running -= 1;
        self.shared.freed.notify_one();
    }
}
