//! Clients send long orders, with a length or in chunks; the platform kills a
//! process that exceeds its memory.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    TrialResult, Verdict,
    client::{Body, Connection, Outcome, next_attempt},
    configuration,
    daemon::{Places, Vm, VmPlan},
    record::Record,
    server::{Plan, Server, Treatment},
    store::Store,
};

const MEMORY_MB: u32 = 260;
const MEMORY_BYTES: u64 = MEMORY_MB as u64 * 1024 * 1024;

/// The long orders that a VM gets at once, and their size: below the
/// configuration's `max_body_bytes`.
const LONG_ORDERS: usize = 5;
const LONG_BYTES: usize = 60_000_000;

/// The bytes that each of them sends a second: together less than the VM's
/// link carries.
const LONG_PER_S: usize = 20_000_000;

const ROUNDS: u32 = 3;

/// The clients of each VM that send short orders on kept connections.
const SHORT_CLIENTS: usize = 4;
const SHORT_WORK: Duration = Duration::from_millis(400);
const SHORT_DEADLINE: Duration = Duration::from_millis(2_500);
const LONG_DEADLINE: Duration = Duration::from_millis(5_000);

/// A short order whose connection was closed without an answer.
struct Lost {
    vm: usize,
    attempt: String,
}

struct Trial {
    record: Record,
    vms: Vec<Mutex<Vm>>,
    ends: Vec<AtomicU32>,
    lost: Mutex<Vec<Lost>>,
    answered: AtomicU32,
    is_over: AtomicBool,
}

pub fn play(
    record: &Record,
    places: &Places,
    has_trouble: bool,
) -> TrialResult {
    let store = Store::open()?;
    store.write("op/config", &configuration(7, "orders"));
    let plan: Plan = Arc::new(|path| {
        let is_short = path.starts_with("/short/");
        Treatment::Work(if is_short { SHORT_WORK } else { Duration::ZERO })
    });
    let servers: Result<Vec<Server>, _> = ["i-one", "i-two", "i-three"]
        .iter()
        .map(|id| {
            Server::open(record, &store, "orders", id, 8, None, plan.clone())
        })
        .collect();
    let servers = servers?;
    let mut vms = Vec::new();
    for (name, ip, zone) in [
        ("front-north-a-1", "127.0.0.2", "north-a"),
        ("front-north-b-1", "127.0.0.3", "north-b"),
    ] {
        let plan = VmPlan { name, ip, zone, memory_mb: MEMORY_MB };
        vms.push(Mutex::new(Vm::start(places, store.address, &plan)?));
    }
    for vm in &vms {
        if !lock(vm).wait_ready(Duration::from_secs(10)) {
            return Err("a VM is not ready".into());
        }
    }
    let trial = Arc::new(Trial {
        record: record.clone(),
        ends: vms.iter().map(|_| AtomicU32::new(0)).collect(),
        vms,
        lost: Mutex::default(),
        answered: AtomicU32::new(0),
        is_over: AtomicBool::new(false),
    });
    // `contact`: from here on the VMs are in touch.
    thread::sleep(Duration::from_millis(3_500));
    let mut threads = Vec::new();
    for vm in 0..trial.vms.len() {
        let watched = Arc::clone(&trial);
        threads.push(thread::spawn(move || watched.watch_memory(vm)));
        for _ in 0..SHORT_CLIENTS {
            let client = Arc::clone(&trial);
            threads.push(thread::spawn(move || client.send_short(vm)));
        }
    }
    thread::sleep(Duration::from_secs(1));
    for round in 1..=ROUNDS {
        record.line(format!("round {round} of long orders"));
        let mut senders = Vec::new();
        for vm in 0..trial.vms.len() {
            for _ in 0..LONG_ORDERS {
                let client = Arc::clone(&trial);
                senders.push(thread::spawn(move || {
                    client.send_long(vm, has_trouble);
                }));
            }
        }
        for sender in senders {
            let _joined = sender.join();
        }
        thread::sleep(Duration::from_secs(4));
    }
    trial.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _joined = thread.join();
    }
    Ok(trial.verdict(&servers))
}

impl Trial {
    /// Kills the process of a VM that exceeds its memory, and starts it again
    /// after a short delay.
    fn watch_memory(&self, vm: usize) {
        let mut peak = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let bytes = lock(&self.vms[vm]).resident_bytes();
            peak = peak.max(bytes);
            if bytes > MEMORY_BYTES {
                let mut killed = lock(&self.vms[vm]);
                killed.kill();
                self.ends[vm].fetch_add(1, Ordering::SeqCst);
                self.record.line(format!(
                    "{} holds {bytes} bytes, over {MEMORY_MB} MiB: killed",
                    killed.name
                ));
                thread::sleep(Duration::from_millis(500));
                if killed.spawn().is_err() {
                    return;
                }
                killed.wait_ready(Duration::from_secs(5));
                self.record.line(format!("{} is ready again", killed.name));
            }
            thread::sleep(Duration::from_millis(5));
        }
        let name = &lock(&self.vms[vm]).name;
        self.record.line(format!("{name} held at most {peak} bytes"));
    }

    fn send_short(&self, vm: usize) {
        let address = lock(&self.vms[vm]).callers;
        let mut connection = None;
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(open) = &mut connection else {
                connection = Connection::open(address).ok();
                if connection.is_none() {
                    thread::sleep(Duration::from_millis(100));
                }
                continue;
            };
            let attempt = next_attempt();
            let outcome =
                open.post("/short/", &attempt, SHORT_DEADLINE, Body::Short);
            self.record.line(format!(
                "short order {attempt} at VM {vm}, number {} on its \
                 connection: {outcome:?}",
                open.carried
            ));
            match outcome {
                Outcome::Answered(_) => {
                    self.answered.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(20));
                }
                Outcome::Closed(_) => {
                    if open.carried > 1 {
                        let lost = Lost { vm, attempt };
                        self.lost.lock().expect("lock").push(lost);
                    }
                    connection = None;
                }
                Outcome::GaveUp => connection = None,
            }
        }
    }

    fn send_long(&self, vm: usize, in_chunks: bool) {
        let address = lock(&self.vms[vm]).callers;
        let Ok(mut connection) = Connection::open(address) else { return };
        let (bytes, per_s) = (LONG_BYTES, LONG_PER_S);
        let body = if in_chunks {
            Body::Chunked { bytes, per_s }
        } else {
            Body::Long { bytes, per_s }
        };
        let attempt = next_attempt();
        self.record.line(format!(
            "long order {attempt} to VM {vm}: {bytes} bytes, in chunks: \
             {in_chunks}"
        ));
        let outcome =
            connection.post("/long/", &attempt, LONG_DEADLINE, body);
        self.record.line(format!("long order {attempt}: {outcome:?}"));
    }

    fn verdict(&self, servers: &[Server]) -> Verdict {
        let arrivals: Vec<_> =
            servers.iter().map(|server| server.arrivals()).collect();
        let lost = self.lost.lock().expect("lock");
        let mut counts = vec![0; self.vms.len()];
        for Lost { vm, attempt } in &*lost {
            let arrived = arrivals.iter().any(|a| a.contains_key(attempt));
            if arrived {
                counts[*vm] += 1;
                self.record.line(format!(
                    "short order {attempt} was passed on to a server and \
                     its kept connection closed without an answer"
                ));
            }
        }
        let ends: Vec<u32> =
            self.ends.iter().map(|e| e.load(Ordering::SeqCst)).collect();
        let answered = self.answered.load(Ordering::SeqCst);
        let text = format!(
            "by VM: orders passed on from kept connections that were closed \
             without an answer {counts:?} (at most 3 each), ends over the \
             memory limit {ends:?}; short orders answered: {answered}"
        );
        if counts.iter().any(|count| *count > 3) {
            Verdict::Broken(text)
        } else {
            Verdict::Held(text)
        }
    }
}

fn lock(vm: &Mutex<Vm>) -> std::sync::MutexGuard<'_, Vm> {
    vm.lock().expect("no holder panicked")
}
