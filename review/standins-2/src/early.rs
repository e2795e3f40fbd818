//! A server rejects long orders before their bodies are in, keeps the
//! connections and reads on. Then it drains and exits.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
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

/// The rule's bound, as the settings state it.
const DRAIN: Duration = Duration::from_millis(2_000);

/// How long the draining server serves: the bound and a little longer.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);

/// The long orders that are sent, one after the other, until one is rejected.
const LONG_ORDERS: usize = 20;
const LONG: Body = Body::Long { bytes: 240_000, per_s: 100_000_000 };

/// What the server reads of a rejected body in a second.
const READ_PER_S: usize = 62_000;

/// The receive buffer of a server's connection.
const RECEIVE_BUFFER: usize = 96 * 1024;

/// The short orders that are sent at once, and how often that is done before
/// a long order is rejected.
const SHORT_ORDERS: usize = 16;
const WAVES: usize = 12;

/// The time from the rejection to the last short orders.
const AFTER_REJECTION: Duration = Duration::from_millis(600);

/// The work of most orders, and of those that are sent just before the drain.
const WORK: Duration = Duration::from_millis(50);
const LAST_WORK: Duration = Duration::from_millis(600);

/// The faulty server spoils one answer, after at least this many others within
/// this time: a share of less than 0.02.
const SOUND_ANSWERS: usize = 50;
const FAULTY_TIME: Duration = Duration::from_millis(5_000);
const DEADLINE: Duration = Duration::from_millis(5_000);

/// A short order and how it ended for its client.
type ShortOrder = (String, Outcome);

pub fn play(
    record: &Record,
    places: &Places,
    has_trouble: bool,
) -> TrialResult {
    let store = Store::open()?;
    store.write("op/config", &configuration(7, "orders"));
    let left = usize::from(has_trouble);
    let rejections = Arc::new(AtomicUsize::new(left));
    let rejected = Arc::clone(&rejections);
    let spoilt = record.clone();
    // When the leaving server got each request, all of which it answers.
    let answers: Mutex<Vec<Duration>> = Mutex::default();
    let leaver: Plan = Arc::new(move |path| {
        let now = spoilt.elapsed();
        let mut answers = answers.lock().expect("lock");
        answers.retain(|at| *at + FAULTY_TIME > now);
        let sound = answers.len();
        answers.push(now);
        let take = |left: usize| left.checked_sub(1);
        let order = Ordering::SeqCst;
        if path.starts_with("/long/")
            && sound >= SOUND_ANSWERS
            && rejections.fetch_update(order, order, take).is_ok()
        {
            spoilt.line(format!(
                "i-leaver spoils 1 answer after {sound} sound ones in {} ms",
                FAULTY_TIME.as_millis()
            ));
            return Treatment::RejectEarly { per_s: READ_PER_S };
        }
        Treatment::Work(work_of(path))
    });
    let stayer: Plan = Arc::new(|path| Treatment::Work(work_of(path)));
    let open = |id: &str, plan: Plan| {
        let buffer = Some(RECEIVE_BUFFER);
        Server::open(record, &store, "orders", id, 8, buffer, plan)
    };
    let leaver = open("i-leaver", leaver)?;
    let _stayer = open("i-stayer", stayer)?;
    let place = VmPlan {
        name: "front-north-a-1",
        ip: "127.0.0.2",
        zone: "north-a",
        memory_mb: 260,
    };
    let vm = Vm::start(places, store.address, &place)?;
    if !vm.wait_ready(Duration::from_secs(10)) {
        return Err("the VM is not ready".into());
    }
    // `contact`: from here on the VM is in touch.
    thread::sleep(Duration::from_millis(3_500));
    let shorts: Arc<Mutex<Vec<ShortOrder>>> = Arc::default();
    let send = |path: &'static str, body: Body| {
        let (record, address) = (record.clone(), vm.callers);
        let shorts = Arc::clone(&shorts);
        let attempt = next_attempt();
        thread::spawn(move || {
            record.line(format!("client sends {attempt} ({path})"));
            let outcome = match Connection::open(address) {
                Ok(mut connection) => {
                    connection.post(path, &attempt, DEADLINE, body)
                }
                Err(error) => Outcome::Closed(error.kind().to_string()),
            };
            record.line(format!("client of {attempt}: {outcome:?}"));
            if body == Body::Short {
                shorts.lock().expect("lock").push((attempt, outcome));
            }
        })
    };
    let send_shorts = |path: &'static str| -> Vec<_> {
        let order = |_| send(path, Body::Short);
        (0..SHORT_ORDERS).map(order).collect()
    };
    record.line("short orders, so that connections to servers are kept");
    for _ in 0..WAVES {
        for sender in send_shorts("/short/") {
            let _joined = sender.join();
        }
    }
    record.line("long orders");
    for number in 1..=LONG_ORDERS {
        let _joined = send("/long/", LONG).join();
        if rejected.load(Ordering::SeqCst) == 0 && (has_trouble || number > 3)
        {
            break;
        }
    }
    if rejected.load(Ordering::SeqCst) > 0 {
        return Err("i-leaver got no long order".into());
    }
    // The VM sends less to a server that has just refused an order.
    thread::sleep(AFTER_REJECTION);
    record.line("short orders");
    let senders = send_shorts("/short/last");
    thread::sleep(Duration::from_millis(100));
    leaver.drain();
    let accepted_at = record.elapsed();
    record.line("the store has accepted that i-leaver drains");
    thread::sleep(LEAVING_TIME);
    leaver.exit();
    for sender in senders {
        let _joined = sender.join();
    }
    drop(vm);
    let shorts = shorts.lock().expect("lock").clone();
    let mut late = Vec::new();
    for (attempt, arrival) in leaver.arrivals() {
        let after = arrival.at.saturating_sub(accepted_at);
        if after > DRAIN {
            let short = shorts.iter().find(|(id, _)| *id == attempt);
            let outcome = short.map(|(_, outcome)| outcome.clone());
            late.push(format!(
                "{attempt} ({}) {} ms after, for its client {outcome:?}",
                arrival.path,
                after.as_millis()
            ));
        }
    }
    let text = format!(
        "requests that reached i-leaver more than {} ms after the store had \
         accepted that it drains: {late:?}",
        DRAIN.as_millis()
    );
    Ok(if late.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

fn work_of(path: &str) -> Duration {
    if path == "/short/last" { LAST_WORK } else { WORK }
}
