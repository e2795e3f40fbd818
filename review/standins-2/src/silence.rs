//! The store loses its history, with a change of a route meanwhile, and is
//! silent soon after.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
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

/// The bounds as the settings state them.
const APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long watches hear nothing before the history is dropped.
const HUSH: Duration = Duration::from_millis(1_000);

/// The time from the loss of the history to the silence, and its length.
const PAUSE: Duration = Duration::from_millis(300);
const SILENCE: Duration = Duration::from_millis(4_500);

const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(1_000);

/// A short order: its id, when it was sent, and how it ended for its client.
type Order = (String, Duration, Outcome);

pub fn play(
    record: &Record,
    places: &Places,
    has_trouble: bool,
) -> TrialResult {
    let store = Store::open()?;
    store.write("op/config", &configuration(7, "orders"));
    let open = |service: &str, id: &str| {
        let plan: Plan = Arc::new(|_path| Treatment::Work(WORK));
        Server::open(record, &store, service, id, 8, None, plan)
    };
    let former = [open("orders", "i-one")?, open("orders", "i-two")?];
    let _later = [open("renewals", "i-three")?, open("renewals", "i-four")?];
    let mut vms = Vec::new();
    for (name, ip, zone) in [
        ("front-north-a-1", "127.0.0.2", "north-a"),
        ("front-north-b-1", "127.0.0.3", "north-b"),
    ] {
        let plan = VmPlan { name, ip, zone, memory_mb: 260 };
        vms.push(Vm::start(places, store.address, &plan)?);
    }
    for vm in &vms {
        if !vm.wait_ready(Duration::from_secs(10)) {
            return Err("a VM is not ready".into());
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let is_over = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let clients: Vec<_> = vms
        .iter()
        .map(|vm| {
            let (record, address) = (record.clone(), vm.callers);
            let (is_over, orders) =
                (Arc::clone(&is_over), Arc::clone(&orders));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let order = send(&record, address);
                    orders.lock().expect("lock").push(order);
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        store.hush_watches();
        record.line("watches hear nothing");
    }
    thread::sleep(HUSH / 2);
    store.write("op/config", &configuration(9, "renewals"));
    let accepted_at = record.elapsed();
    record.line("the store has accepted version 9: short orders move");
    thread::sleep(HUSH / 2);
    let mut in_touch_at = Duration::ZERO;
    if has_trouble {
        store.drop_history();
        record.line("the history is dropped, watches are cut");
        thread::sleep(PAUSE);
        store.fall_silent();
        record.line("the store falls silent");
        thread::sleep(SILENCE);
        store.end_silence();
        in_touch_at = record.elapsed() + CONTACT;
        record.line("the store answers again");
    }
    thread::sleep(CONTACT + Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _joined = client.join();
    }
    drop(vms);
    let bound = in_touch_at.max(accepted_at + APPLY);
    let has_run = |attempt: &str| {
        former.iter().any(|server| {
            server.arrivals().get(attempt).is_some_and(|a| a.has_run)
        })
    };
    let (mut late, mut last) = (0, Duration::ZERO);
    for (attempt, sent_at, outcome) in &*orders.lock().expect("lock") {
        if *sent_at > bound && has_run(attempt) {
            late += 1;
            last = last.max(*sent_at);
            record.line(format!(
                "order {attempt}, sent at {:.3} s, ran at the former \
                 service; for its client {outcome:?}",
                sent_at.as_secs_f64()
            ));
        }
    }
    let text = format!(
        "orders that the former service ran although they were sent after \
         {:.3} s, when version 9 had been accepted for {:.3} s and the VMs \
         were in touch: {late}, the last one sent at {:.3} s",
        bound.as_secs_f64(),
        bound.saturating_sub(accepted_at).as_secs_f64(),
        last.as_secs_f64()
    );
    Ok(if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

fn send(record: &Record, address: SocketAddr) -> Order {
    let attempt = next_attempt();
    let sent_at = record.elapsed();
    let outcome = match Connection::open(address) {
        Ok(mut connection) => {
            connection.post("/short/", &attempt, DEADLINE, Body::Short)
        }
        Err(error) => Outcome::Closed(error.kind().to_string()),
    };
    (attempt, sent_at, outcome)
}
