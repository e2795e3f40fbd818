//! A failure domain simulated in one thread: time, messages, faults, and the
//! oracle.

mod arrival;
mod binding;
mod oracle;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use goldcrestramp_ownership::{
    Safeguards, SliceMove, StewardEvent, TermTiming,
};
use goldcrestramp_types::{SliceIndex, SliceSet, TimeSpan};

use crate::{
    fault::Fault,
    message::{Message, Node},
    nodes::{Clock, Server, Store, Vm, make_plan, service_name},
    random::SeededRandom,
};

const TICK: u64 = 50_000;
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Timeout { vm: usize, start: u64, call: u64 },
    Deliver { to: Node, message: Message },
}

/// The clock rates of VMs and servers, in per mille.
const RATES: [u64; 8] = [980, 1_020, 1_000, 990, 1_020, 980, 1_010, 1_000];

#[derive(Debug)]
pub struct SimulatedCluster {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub servers: Vec<Server>,
    pub store: Store,
    /// The violations that the oracle found; must stay empty.
    pub violations: Vec<String>,
    /// Slices that an acknowledged record says have left the domain.
    released: SliceSet,
    leaving: SliceSet,
    timing: TermTiming,
    random: SeededRandom,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    last_number: u64,
    network: (u64, u64, u64),
    cuts: BTreeSet<(Node, Node)>,
    slow: BTreeMap<(Node, Node), u64>,
    list_empty: bool,
    plan_version: u64,
}

impl SimulatedCluster {
    /// Starts a cluster with one server for each entry of `checks_fence`.
    pub fn new(
        vms: usize,
        checks_fence: &[bool],
        safeguards: Safeguards,
    ) -> Self {
        let timing = TermTiming { safeguards, ..TermTiming::default() };
        Self::with_timing(vms, checks_fence, timing)
    }

    /// Like [`SimulatedCluster::new`], with another timing.
    pub fn with_timing(
        vms: usize,
        checks_fence: &[bool],
        timing: TermTiming,
    ) -> Self {
        let clock = |index: usize| Clock {
            base: 1_000_000_000 * (1 + index as u64),
            started_at: 0,
            per_mille: RATES[index % RATES.len()],
        };
        let servers = checks_fence.iter().enumerate();
        let mut cluster = Self {
            now: 0,
            vms: (0..vms).map(|i| Vm::new(i, clock(i))).collect(),
            servers: servers
                .map(|(i, checks)| Server::new(i, *checks, clock(i + 4)))
                .collect(),
            store: Store::default(),
            violations: Vec::new(),
            released: SliceSet::new(),
            leaving: SliceSet::new(),
            timing,
            random: SeededRandom(1),
            events: BTreeMap::new(),
            sequence: 0,
            last_number: 0,
            network: (0, 0, 5),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            list_empty: false,
            plan_version: 0,
        };
        cluster.update_plan();
        cluster.update_vm_list();
        (0..vms).for_each(|vm| cluster.fault(&Fault::StartVm(vm)));
        let count = cluster.servers.len();
        (0..count).for_each(|s| cluster.fault(&Fault::StartServer(s)));
        cluster
    }

    /// Lets `millis` milliseconds pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) =
                self.events.pop_first().expect("entry is present");
            self.now = at;
            self.process_event(event);
        }
        self.now = end;
        self.check_keepers();
    }

    pub fn fault(&mut self, fault: &Fault) {
        let timing = self.timing;
        match *fault {
            Fault::Run { millis, seed } => {
                self.random = SeededRandom(seed);
                self.run(millis);
            }
            Fault::Network { loss, duplicate, delay } => {
                self.network = (loss, duplicate, delay);
            }
            Fault::KillVm(vm) => self.vms[vm].process = None,
            Fault::StartVm(vm) => {
                self.last_number += 1;
                let start = self.last_number;
                self.vms[vm].launch(self.now, start, timing);
                self.schedule(1, Event::Tick(vm, start));
            }
            Fault::PauseVm(vm) => self.vms[vm].paused = true,
            Fault::ResumeVm(vm) => self.resume_vm(vm),
            Fault::KillServer(server) => self.servers[server].holder = None,
            Fault::StartServer(server) => {
                self.last_number += 1;
                let run = self.last_number;
                let entry = &mut self.servers[server];
                // Its clock restarts with the machine.
                entry.clock.base = 0;
                entry.clock.started_at = self.now;
                entry.launch(run, timing.safeguards);
            }
            Fault::PauseServer(server) => self.servers[server].paused = true,
            Fault::ResumeServer(server) => self.resume_server(server),
            Fault::CutVms(a, b) => self.cut(Node::Vm(a), Node::Vm(b)),
            Fault::CutServer(a, b) => self.cut(Node::Vm(a), Node::Server(b)),
            Fault::CutStore(vm) => self.cut(Node::Vm(vm), Node::Store),
            Fault::SlowServer(vm, server, millis) => {
                let link = (Node::Vm(vm), Node::Server(server));
                self.slow.insert(link, millis * 1_000);
            }
            Fault::HealLinks => {
                self.cuts.clear();
                self.slow.clear();
            }
            Fault::StoreDown => self.store.down = true,
            Fault::StoreDropsReplies => self.store.drops_replies = true,
            Fault::StoreUp => {
                self.store.down = false;
                self.store.drops_replies = false;
            }
            Fault::StoreRestored => self.restore_older_record(),
            Fault::ListEmpty(empty) => self.list_empty = empty,
            Fault::Delist(vm, gone) => self.vms[vm].listed = !gone,
            Fault::Drain(server, draining) => {
                self.servers[server].draining = draining;
            }
            Fault::LeavingVm(vm, leaving) => {
                self.vms[vm].leaving = leaving;
                if let Some(process) = &mut self.vms[vm].process {
                    process.keeper.set_leaving(leaving);
                }
            }
            Fault::Move(slice, server) => self.ask_move(slice, server),
            Fault::Release(slice) => {
                let slice = SliceIndex::new(u32::from(slice));
                self.leaving.insert(slice.expect("slice is in range"));
            }
        }
        self.update_vm_list();
        self.update_plan();
    }

    /// Ends all faults and lets the domain recover.
    pub fn recover(&mut self) {
        self.fault(&Fault::Network { loss: 0, duplicate: 0, delay: 5 });
        self.fault(&Fault::HealLinks);
        self.fault(&Fault::StoreUp);
        self.fault(&Fault::ListEmpty(false));
        for vm in 0..self.vms.len() {
            self.fault(&Fault::LeavingVm(vm, false));
            self.fault(&Fault::Delist(vm, false));
            match self.vms[vm].process {
                Some(_) => self.fault(&Fault::ResumeVm(vm)),
                None => self.fault(&Fault::StartVm(vm)),
            }
        }
        for server in 0..self.servers.len() {
            self.fault(&Fault::Drain(server, false));
            match self.servers[server].holder {
                Some(_) => self.fault(&Fault::ResumeServer(server)),
                None => self.fault(&Fault::StartServer(server)),
            }
        }
        self.run(12_000);
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn cut(&mut self, a: Node, b: Node) {
        if a != b {
            self.cuts.insert((a, b));
            self.cuts.insert((b, a));
        }
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        let (loss, duplicate, max_delay) = self.network;
        if self.random.chance(duplicate) {
            self.send_copy(from, to, message.clone(), loss, max_delay);
        }
        self.send_copy(from, to, message, loss, max_delay);
    }

    fn send_copy(
        &mut self,
        from: Node,
        to: Node,
        message: Message,
        loss: u64,
        max_delay: u64,
    ) {
        let dropped = from != to && self.random.chance(loss);
        let mut delay = 200 + self.random.below(max_delay * 200);
        if self.random.chance(20) {
            delay += self.random.below(max_delay * 1_000);
        }
        if dropped || self.cuts.contains(&(from, to)) {
            return;
        }
        delay += self.slow.get(&(from, to)).copied().unwrap_or(0);
        self.schedule(delay, Event::Deliver { to, message });
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick(vm, start) => self.tick(vm, start),
            Event::Timeout { vm, start, call } => {
                if self.vms[vm].paused {
                    let event = Event::Timeout { vm, start, call };
                    self.schedule(10_000, event);
                    return;
                }
                self.expire_call(vm, start, call);
            }
            Event::Deliver { to, message } => self.deliver(to, message),
        }
    }

    fn restore_older_record(&mut self) {
        if self.store.records.len() > 1 {
            let newest = self.store.records.pop().expect("entry is present");
            // The planner's record also contains the slices that have left
            // the domain.
            let last =
                self.store.records.last_mut().expect("entry is present");
            last.released = newest.released;
        }
    }

    fn ask_move(&mut self, slice: u16, server: usize) {
        let wanted = SliceMove {
            service: service_name(),
            slice: SliceIndex::new(u32::from(slice))
                .expect("slice is in range"),
            target: self.servers[server].name.clone(),
        };
        for vm in 0..self.vms.len() {
            if !self.vms[vm].paused {
                let moves = vec![wanted.clone()];
                self.steward_event(vm, StewardEvent::MovesRequested(moves));
            }
        }
    }

    fn update_vm_list(&mut self) {
        let listed = self.vms.iter().filter(|vm| vm.listed);
        self.store.vms = listed.map(Vm::as_voter).collect();
        if self.list_empty {
            self.store.vms.clear();
        }
    }

    fn update_plan(&mut self) {
        let version = self.plan_version;
        let plan = make_plan(version, &self.servers, &self.leaving);
        if self.store.plan.as_deref() != Some(&plan) {
            self.plan_version += 1;
            let plan = make_plan(version + 1, &self.servers, &self.leaving);
            self.store.plan = Some(Arc::new(plan));
        }
    }
}
