//! The simulated nodes: VMs that run the machines, servers, and the store.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use goldcrestramp_ownership::{
    DomainPlan, DomainRecord, GrantHolder, KeeperMachine, RosterVoter,
    Safeguards, ServerPlan, ServicePlan, StewardEvent, StewardMachine,
    TermTiming, VoterRoster, VoterState,
};
use goldcrestramp_types::{
    DomainName, FenceToken, LocalTime, ServerName, ServerTime, ServiceName,
    SliceCount, SliceSet, VmName,
};

use crate::message::{Message, StoreCall};

/// A clock that runs fast or slow by up to 2%.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub base: u64,
    pub started_at: u64,
    pub per_mille: u64,
}

impl Clock {
    pub fn read(self, now: u64) -> u64 {
        self.base + (now - self.started_at) * self.per_mille / 1_000
    }

    /// Continues from the current reading at another rate.
    pub fn set_rate(&mut self, now: u64, per_mille: u64) {
        *self = Self { base: self.read(now), started_at: now, per_mille };
    }

    pub fn local(self, now: u64) -> LocalTime {
        LocalTime::from_micros(self.read(now))
    }
}

/// A process on a VM.
#[derive(Debug)]
pub struct Process {
    pub start: u64,
    pub voter: VoterState,
    pub steward: StewardMachine,
    pub keeper: KeeperMachine,
    /// The orders in flight by call: the server and when it was sent.
    pub calls: BTreeMap<u64, (ServerName, LocalTime)>,
    pub poll_until: LocalTime,
    pub polls: usize,
    /// Whether the VM reported to last was not the steward, so that the
    /// next one is tried.
    pub try_next: bool,
    /// The VM reported to last, and whether it was the steward.
    pub last_polled: (usize, bool),
    pub read_at: LocalTime,
}

#[derive(Debug)]
pub struct Vm {
    pub name: VmName,
    pub address: Arc<str>,
    pub clock: Clock,
    pub process: Option<Process>,
    pub paused: bool,
    pub leaving: bool,
    pub listed: bool,
    pub inbox: VecDeque<Message>,
}

impl Vm {
    pub fn new(index: usize, clock: Clock) -> Self {
        Self {
            name: VmName::new(&format!("vm-{index}")).expect("name is valid"),
            address: Arc::from(format!("10.0.0.{index}:1")),
            clock,
            process: None,
            paused: false,
            leaving: false,
            listed: true,
            inbox: VecDeque::new(),
        }
    }

    pub fn launch(&mut self, now: u64, start: u64, timing: TermTiming) {
        let started = self.clock.local(now);
        let (vm, address) = (self.name.clone(), Arc::clone(&self.address));
        let mut keeper = KeeperMachine::new(
            vm.clone(),
            Arc::clone(&address),
            start,
            timing,
        );
        keeper.set_leaving(self.leaving);
        let steward = StewardMachine::new(
            started,
            domain_name(),
            vm,
            address,
            start,
            timing,
        );
        self.paused = false;
        self.inbox.clear();
        self.process = Some(Process {
            start,
            voter: VoterState::new(started, timing),
            steward,
            keeper,
            calls: BTreeMap::new(),
            poll_until: LocalTime::default(),
            polls: 0,
            try_next: false,
            last_polled: (0, false),
            read_at: LocalTime::default(),
        });
    }

    pub fn as_voter(&self) -> RosterVoter {
        let (vm, address) = (self.name.clone(), Arc::clone(&self.address));
        RosterVoter { vm, address }
    }
}

#[derive(Debug)]
pub struct Server {
    pub name: ServerName,
    pub checks_fence: bool,
    pub draining: bool,
    pub clock: Clock,
    pub holder: Option<GrantHolder>,
    pub paused: bool,
    pub inbox: VecDeque<Message>,
    /// The highest token accepted in this instance.
    pub accepted: FenceToken,
}

impl Server {
    pub fn new(index: usize, checks_fence: bool, clock: Clock) -> Self {
        Self {
            name: ServerName::new(&format!("s-{index}"))
                .expect("name is valid"),
            checks_fence,
            draining: false,
            clock,
            holder: None,
            paused: false,
            inbox: VecDeque::new(),
            accepted: FenceToken::default(),
        }
    }

    pub fn launch(&mut self, run: u64, safeguards: Safeguards) {
        let checks = self.checks_fence;
        let holder = GrantHolder::with_safeguards(run, checks, safeguards);
        self.holder = Some(holder);
        self.paused = false;
        self.inbox.clear();
        self.accepted = FenceToken::default();
    }

    pub fn time(&self, now: u64) -> ServerTime {
        ServerTime::from_micros(self.clock.read(now))
    }

    pub fn plan(&self) -> ServerPlan {
        ServerPlan {
            server: self.name.clone(),
            service: service_name(),
            address: Arc::from(format!("10.1.0.1:{}", self.name)),
            slots: 4,
            connections: 8,
            checks_fence: self.checks_fence,
            draining: self.draining,
        }
    }
}

/// The platform's store and VM list.
#[derive(Debug, Default)]
pub struct Store {
    pub down: bool,
    pub drops_replies: bool,
    pub roster: Option<VoterRoster>,
    pub records: Vec<DomainRecord>,
    pub plan: Option<Arc<DomainPlan>>,
    pub vms: Vec<RosterVoter>,
}

impl Store {
    pub fn call(&mut self, call: StoreCall) -> Option<StewardEvent> {
        if self.down {
            return None;
        }
        let mut writes = false;
        let event = match call {
            StoreCall::ReadRoster => {
                StewardEvent::RosterRead(self.roster.clone())
            }
            StoreCall::SaveRoster(roster) => {
                writes = true;
                StewardEvent::RosterSaved(self.save_roster(roster))
            }
            StoreCall::ReadRecord => {
                StewardEvent::RecordRead(self.records.last().cloned())
            }
            StoreCall::SaveRecord(record) => {
                writes = true;
                let token = record.token;
                let last = self.records.last().map(|last| last.token);
                if last.is_none_or(|last| token > last) {
                    self.records.push(record);
                } else if last != Some(token) {
                    return Some(StewardEvent::RecordRead(
                        self.records.last().cloned(),
                    ));
                }
                StewardEvent::RecordSaved(token)
            }
            StoreCall::ReadPlan => StewardEvent::PlanRead(self.plan.clone()?),
            StoreCall::ReadVms => StewardEvent::VmsRead(self.vms.clone()),
        };
        (!(writes && self.drops_replies)).then_some(event)
    }

    fn save_roster(&mut self, roster: VoterRoster) -> Result<VoterRoster, ()> {
        let version = self.roster.as_ref().map_or(0, |r| r.version);
        if roster.version != version + 1 {
            return Err(());
        }
        self.roster = Some(roster.clone());
        Ok(roster)
    }
}

pub fn domain_name() -> DomainName {
    DomainName::new("sierra-a").expect("name is valid")
}

pub fn service_name() -> ServiceName {
    ServiceName::new("stock").expect("name is valid")
}

pub fn slice_count() -> SliceCount {
    SliceCount::new(16).expect("count is a power of two")
}

pub fn make_plan(
    version: u64,
    servers: &[Server],
    leaving: &SliceSet,
) -> DomainPlan {
    DomainPlan {
        domain: domain_name(),
        version,
        services: vec![ServicePlan {
            service: service_name(),
            count: slice_count(),
            slices: slice_count().indices().collect(),
            leaving: leaving.clone(),
        }],
        servers: servers.iter().map(Server::plan).collect(),
    }
}
