//! Plays one case of the review: daemons as processes, and stand-ins of the
//! store, the servers and the clients.
//!
//! Usage: `review-standins CASE FOLDER`. The exit status is 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod client;
mod http;
mod json;
mod node;
mod record;
mod server;
mod store;

use std::{
    collections::HashMap,
    io::Write,
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Answer, ClientPlan, Clients, HOST},
    node::{Node, TempFolder},
    record::Record,
    server::{BEAT_INTERVAL, ExtraResponse, Server, ServerShape, unix_ms},
    store::Store,
};

const SERVICE: &str = "huvo11a";

/// The zones of the daemons.
const NODE_ZONES: [&str; 3] = ["cartago-a", "heredia-a", "cartago-b"];

/// The zones of the servers.
const SERVER_ZONES: [&str; 5] =
    ["cartago-a", "heredia-a", "cartago-b", "heredia-b", "cartago-a"];

/// No run lasts longer; the longest takes about 70 s.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// How long a server is faulty at a time: the longest that the site file
/// names for extra late responses.
const FAULT_TIME: Duration = Duration::from_secs(5);

/// How long the daemons may take until they are ready and each key is held.
const START_LIMIT: Duration = Duration::from_secs(40);

/// How long traffic runs before the disruption begins.
const CALM_TIME: Duration = Duration::from_secs(6);

/// A case that could not run.
struct CannotRun(String);

/// A deployment with its stand-ins.
struct Scene {
    record: Arc<Record>,
    store: Store,
    servers: Vec<Arc<Server>>,
    nodes: Vec<Node>,
    has_trouble: bool,
    /// Dropped last: the daemons have files there.
    _folder: TempFolder,
}

impl Scene {
    fn open(
        record: &Arc<Record>,
        servers: usize,
        shape: ServerShape,
        has_trouble: bool,
    ) -> Result<Self, CannotRun> {
        let store = Store::open();
        store.put("op/config", &configuration());
        let servers: Vec<_> = SERVER_ZONES[..servers]
            .iter()
            .enumerate()
            .map(|(number, zone)| {
                let id = format!("i-{number}");
                Server::open(&id, zone, shape, Arc::clone(record))
            })
            .collect();
        for server in &servers {
            server.set_fleet(&servers);
            server.register(&store, SERVICE);
            record
                .add(&format!("{} listens at {}", server.id, server.address));
        }
        let folder = TempFolder::open();
        let nodes: std::io::Result<Vec<_>> = NODE_ZONES
            .iter()
            .map(|zone| Node::start(zone, store.address, &folder.0))
            .collect();
        let nodes = nodes.map_err(|error| {
            CannotRun(format!("the daemon can't be started: {error}"))
        })?;
        let scene = Self {
            record: Arc::clone(record),
            store,
            servers,
            nodes,
            has_trouble,
            _folder: folder,
        };
        scene.wait_until_ready()?;
        Ok(scene)
    }

    fn wait_until_ready(&self) -> Result<(), CannotRun> {
        let end = Instant::now() + START_LIMIT;
        for node in &self.nodes {
            if !node.wait_ready(end) {
                return Err(CannotRun(format!("{} isn't ready", node.name)));
            }
            self.record.add(&format!(
                "{} is ready and takes clients at {}",
                node.name, node.front
            ));
        }
        let keys: Vec<usize> = (0..server::KEYS).step_by(512).collect();
        loop {
            let owners = self.owners(&keys);
            if owners.iter().all(|owners| owners.len() == 1) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(CannotRun("some keys have no owner".into()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// The servers that hold each of some keys now.
    fn owners(&self, keys: &[usize]) -> Vec<Vec<usize>> {
        let mut owners = vec![Vec::new(); keys.len()];
        for (number, server) in self.servers.iter().enumerate() {
            let held = server.held_of(keys);
            for (owners, held) in owners.iter_mut().zip(held) {
                if held {
                    owners.push(number);
                }
            }
        }
        owners
    }

    fn start_clients(&self, plan: &ClientPlan) -> Clients {
        let fronts: Vec<_> =
            self.nodes.iter().map(|node| node.front).collect();
        Clients::start(&fronts, plan, &self.record)
    }

    /// Watches for keys that two servers hold for over half a second, until
    /// `stop` is set.
    fn watch_owners(&self, stop: &AtomicBool) {
        const LIMIT: Duration = Duration::from_millis(500);
        let keys: Vec<usize> = (0..server::KEYS).step_by(64).collect();
        let mut since: HashMap<usize, Instant> = HashMap::new();
        let mut longest: HashMap<(usize, usize), (Duration, usize)> =
            HashMap::new();
        while !stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            for (key, owners) in keys.iter().zip(self.owners(&keys)) {
                let [first, second, ..] = owners[..] else {
                    since.remove(key);
                    continue;
                };
                let began = *since.entry(*key).or_insert(now);
                let known = longest.entry((first, second)).or_default();
                if now - began > known.0 {
                    *known = (now - began, *key);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        for ((first, second), (lasted, key)) in longest {
            let line = format!(
                "{} and {} held key {key} at the same time for {} ms",
                self.servers[first].id,
                self.servers[second].id,
                lasted.as_millis()
            );
            if lasted > LIMIT {
                self.record.violation(&format!("OWNER: {line}"));
            } else {
                self.record.add(&line);
            }
        }
    }

    /// Checks the answers against what the servers ran.
    fn judge_answers(&self, answers: &[Answer]) {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for server in &self.servers {
            for attempt in server.runs() {
                *runs.entry(attempt).or_default() += 1;
            }
        }
        for answer in answers.iter().filter(|answer| answer.is_unsafe) {
            let (attempt, status) = (&answer.attempt, answer.status);
            let count = runs.get(attempt).copied().unwrap_or(0);
            if count > 1 {
                self.record.violation(&format!(
                    "TWICE: {attempt} ran {count} times; its client got \
                     {status}"
                ));
            }
            if count > 0 && [408, 421, 429, 503].contains(&status) {
                self.record.violation(&format!(
                    "REFUSED: {attempt} was answered {status} and has run"
                ));
            }
        }
        let served = answers.iter().filter(|a| a.status == 200).count();
        self.record.add(&format!(
            "{} requests were sent and {served} served",
            answers.len()
        ));
        for server in &self.servers {
            for spell in server.fault_spells() {
                self.record.add(&format!(
                    "{} sent {} responses and {} extra ones in 5 s in which \
                     it was faulty",
                    server.id, spell.responses, spell.extras
                ));
            }
        }
    }
}

/// An entry from another writer, of a service that no configuration names,
/// with the address of a server that is up.
fn foreign_entry(scene: &Scene) {
    let server = &scene.servers[0];
    let born = unix_ms();
    scene.record.add(&format!(
        "another writer begins to write servers/agent-7: service node-agent, \
         which no configuration names, and the address of {}",
        server.id
    ));
    for beat in 1..=9 {
        let entry = server
            .entry("node-agent", "ready", beat)
            .replace(&server.born_ms.to_string(), &born.to_string());
        scene.store.put("servers/agent-7", &entry);
        thread::sleep(BEAT_INTERVAL);
    }
}

fn play_foreign_entry(scene: &Scene) -> Vec<Answer> {
    let clients = scene.start_clients(&ClientPlan {
        clients: 4,
        pause: Duration::from_millis(150),
        unsafe_of_ten: 3,
    });
    thread::sleep(CALM_TIME);
    if scene.has_trouble {
        foreign_entry(scene);
    } else {
        thread::sleep(9 * BEAT_INTERVAL);
    }
    clients.finish()
}

fn play_extra_to_release(scene: &Scene) -> Vec<Answer> {
    /// How long a server is faulty before it leaves.
    const LEAD_TIME: Duration = Duration::from_secs(4);
    let clients = scene.start_clients(&ClientPlan {
        clients: 7,
        pause: Duration::from_millis(30),
        unsafe_of_ten: 2,
    });
    thread::sleep(CALM_TIME);
    for server in &scene.servers[..3] {
        if scene.has_trouble {
            server.send_extra(ExtraResponse::ToRelease, FAULT_TIME);
        }
        thread::sleep(LEAD_TIME);
        // All its keys are released by one order if none is pending.
        let end = Instant::now() + Duration::from_secs(1);
        while server.is_releasing() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        server.drain();
        thread::sleep(FAULT_TIME);
    }
    clients.finish()
}

fn play_extra_to_resend(scene: &Scene) -> Vec<Answer> {
    let clients = scene.start_clients(&ClientPlan {
        clients: 6,
        pause: Duration::from_millis(60),
        unsafe_of_ten: 10,
    });
    thread::sleep(CALM_TIME);
    for _spell in 0..6 {
        if scene.has_trouble {
            scene.servers[0].send_extra(ExtraResponse::ToResend, FAULT_TIME);
        }
        thread::sleep(FAULT_TIME + Duration::from_secs(2));
    }
    clients.finish()
}

fn play(
    case: &str,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<(), CannotRun> {
    type Play = fn(&Scene) -> Vec<Answer>;
    let shape = |slots, queue, work, unsafe_work| ServerShape {
        slots,
        queue,
        work: Duration::from_millis(work),
        unsafe_work: Duration::from_millis(unsafe_work),
    };
    let (play, servers, shape): (Play, usize, ServerShape) = match case {
        "foreign-entry" => (play_foreign_entry, 4, shape(4, 16, 120, 160)),
        "extra-to-release" => {
            (play_extra_to_release, 5, shape(4, 16, 60, 600))
        }
        "extra-to-resend" => (play_extra_to_resend, 4, shape(2, 1, 120, 160)),
        other => return Err(CannotRun(format!("no case is named {other}"))),
    };
    let mut scene = Scene::open(record, servers, shape, has_trouble)?;
    let stop = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        scope.spawn(|| scene.watch_owners(&stop));
        let answers = play(&scene);
        stop.store(true, Ordering::Relaxed);
        answers
    });
    scene.judge_answers(&answers);
    if !answers.iter().any(|answer| answer.status == 200) {
        return Err(CannotRun("no request was served".into()));
    }
    for node in &mut scene.nodes {
        if !node.is_running() {
            return Err(CannotRun(format!("{} has exited", node.name)));
        }
    }
    Ok(())
}

/// The operator's configuration: lookups and orders at one service that is
/// divided by key.
fn configuration() -> String {
    let route = |prefix: &str, kind: &str, timeout: u32, target: u32| {
        format!(
            r#"{{"host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}",
"timeout":"{timeout}ms","target_latency":"{target}ms","priority":1,
"service":"{SERVICE}","max_attempts":2}}"#
        )
    };
    let lookup = route("/lohu930/", "safe", 2_000, 1_000);
    let order = route("/pufi791/", "unsafe", 2_000, 1_000);
    format!(
        r#"{{"version":7,"routes":{{"r-3d3zji9":{lookup},"r-n73hh2b":{order}}},
"services":{{"{SERVICE}":{{"health_path":"/health","max_conns":130,
"protocol":"h1","tls":false,"sharded":true,"warmup":"5s","grants":"call"}}}},
"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"}}}}"#
    )
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next())
    else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::open());
    let played = play(&case, &record, has_trouble);
    let violations = record.violations();
    let (verdict, code) = match played {
        Err(CannotRun(why)) => (format!("could not run: {why}"), 2),
        Ok(()) if record.elapsed() > RUN_LIMIT => {
            ("could not run: it took too long".to_owned(), 2)
        }
        Ok(()) if violations.is_empty() => ("the rules held".to_owned(), 0),
        Ok(()) => {
            let lines = violations.iter().map(|line| format!("\n  {line}"));
            let lines: String = lines.collect();
            (format!("broken {} times:{lines}", violations.len()), 1)
        }
    };
    let trouble = if has_trouble { "with" } else { "without" };
    let verdict = format!("{case}, {trouble} the disruption: {verdict}");
    // Nobody may read it any more; the record has it, too.
    let _unread = writeln!(std::io::stdout(), "{verdict}");
    if let Err(error) =
        record.write(&Path::new(&folder).join("record.txt"), &verdict)
    {
        eprintln!("the record can't be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
