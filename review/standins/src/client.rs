//! Clients, each of which sends one request after the other.

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{http::read_message, record::Record};

pub const HOST: &str = "ficu95.example";

/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(2_000);

/// What clients send.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// The number of clients at each daemon.
    pub clients: usize,
    /// The pause of a client after each answer.
    pub pause: Duration,
    /// Of ten requests, those that may run once only.
    pub unsafe_of_ten: u64,
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub attempt: String,
    pub is_unsafe: bool,
    /// The status; 0 if there was no complete answer.
    pub status: u16,
}

/// Clients that send until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<JoinHandle<()>>,
}

/// A random number.
fn random() -> u64 {
    static CALLS: AtomicU64 = AtomicU64::new(0);
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u64(CALLS.fetch_add(1, Ordering::Relaxed));
    hasher.finish()
}

impl Clients {
    pub fn start(
        fronts: &[SocketAddr],
        plan: &ClientPlan,
        record: &Arc<Record>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for front in fronts {
            for _client in 0..plan.clients {
                let (front, plan) = (*front, plan.clone());
                let (stop, answers) =
                    (Arc::clone(&stop), Arc::clone(&answers));
                let record = Arc::clone(record);
                threads.push(thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        let is_unsafe = random() % 10 < plan.unsafe_of_ten;
                        let answer = send(front, is_unsafe, &record);
                        let mut answers =
                            answers.lock().expect("lock is not poisoned");
                        answers.push(answer);
                        drop(answers);
                        let jitter = 0.5 + (random() % 1_000) as f64 / 1_000.0;
                        thread::sleep(plan.pause.mul_f64(jitter));
                    }
                }));
            }
        }
        Self { stop, answers, threads }
    }

    /// Stops the clients and returns what they got.
    pub fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("client ends");
        }
        self.answers.lock().expect("lock is not poisoned").clone()
    }
}

fn send(front: SocketAddr, is_unsafe: bool, record: &Record) -> Answer {
    let attempt = format!("{:016x}", random());
    let key = random() % 65_536;
    let (method, path, body) = if is_unsafe {
        ("POST", "/pufi791/", "x".repeat(1_200))
    } else {
        ("GET", "/lohu930/", String::new())
    };
    let length = if is_unsafe {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let deadline = DEADLINE.as_millis();
    let text = format!(
        "{method} {path}{key} HTTP/1.1\r\nHost: {HOST}\r\n\
         X-Attempt-Id: {attempt}\r\nX-Shard-Key: {key}\r\n\
         X-Deadline-Ms: {deadline}\r\n{length}\r\n{body}"
    );
    record.add(&format!("sent {attempt}: {method} key {key} to {front}"));
    let status = exchange(front, &text, &attempt, record);
    Answer { attempt, is_unsafe, status }
}

fn exchange(
    front: SocketAddr,
    text: &str,
    attempt: &str,
    record: &Record,
) -> u16 {
    let answer = || -> std::io::Result<_> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        stream.write_all(text.as_bytes())?;
        read_message(&mut BufReader::new(stream))
    };
    match answer() {
        Ok(Some(answer)) => {
            let status = answer.status();
            record.add(&format!(
                "answered {attempt}: {status} {}",
                answer.body_text()
            ));
            status
        }
        Ok(None) => {
            record.add(&format!("closed without an answer: {attempt}"));
            0
        }
        Err(error) => {
            record.add(&format!("no answer: {attempt}: {:?}", error.kind()));
            0
        }
    }
}
