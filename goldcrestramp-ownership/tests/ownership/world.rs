//! A failure domain in one thread: time, messages, faults, and the oracle.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, PermitAnswer, Safeguards, SliceMove,
    StewardEffect, StewardEvent, StewardStatus, TermTiming,
};
use goldcrestramp_types::{
    FenceToken, LocalTime, SliceIndex, SliceSet, TermId, TimeSpan,
};
use goldcrestramp_wire::server::GrantReply;

use crate::{
    fault::Fault,
    message::{Message, Node, Origin, StoreCall, VoterReply},
    random::SeededRandom,
    standin::{
        Clock, Server, Store, Vm, make_plan, service_name, slice_count,
    },
};

const TICK: u64 = 50_000;
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Timeout { vm: usize, start: u64, call: u64 },
    Deliver { to: Node, message: Message },
}

/// Clock rates of VMs and servers, in per mille.
const RATES: [u64; 8] = [980, 1_020, 1_000, 990, 1_020, 980, 1_010, 1_000];

#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub vms: Vec<Vm>,
    pub servers: Vec<Server>,
    pub store: Store,
    /// What the oracle found wrong; must stay empty.
    pub violations: Vec<String>,
    /// Slices that an acknowledged record says have left the domain.
    gone: SliceSet,
    leaving: SliceSet,
    timing: TermTiming,
    random: SeededRandom,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    numbers: u64,
    weather: (u64, u64, u64),
    cuts: BTreeSet<(Node, Node)>,
    slow: BTreeMap<(Node, Node), u64>,
    list_empty: bool,
    plan_version: u64,
}

impl World {
    /// A world whose servers check fences as told, all started.
    pub fn new(
        vms: usize,
        checks_fence: &[bool],
        safeguards: Safeguards,
    ) -> Self {
        let timing = TermTiming { safeguards, ..TermTiming::default() };
        Self::with_timing(vms, checks_fence, timing)
    }

    /// The same with other times.
    pub fn with_timing(
        vms: usize,
        checks_fence: &[bool],
        timing: TermTiming,
    ) -> Self {
        let clock = |index: usize| Clock {
            base: 1_000_000_000 * (1 + index as u64),
            born: 0,
            per_mille: RATES[index % RATES.len()],
        };
        let servers = checks_fence.iter().enumerate();
        let mut world = Self {
            now: 0,
            vms: (0..vms).map(|i| Vm::new(i, clock(i))).collect(),
            servers: servers
                .map(|(i, checks)| Server::new(i, *checks, clock(i + 4)))
                .collect(),
            store: Store::default(),
            violations: Vec::new(),
            gone: SliceSet::new(),
            leaving: SliceSet::new(),
            timing,
            random: SeededRandom(1),
            events: BTreeMap::new(),
            sequence: 0,
            numbers: 0,
            weather: (0, 0, 5),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            list_empty: false,
            plan_version: 0,
        };
        world.replan();
        world.relist();
        (0..vms).for_each(|vm| world.fault(&Fault::StartVm(vm)));
        let count = world.servers.len();
        (0..count).for_each(|s| world.fault(&Fault::StartServer(s)));
        world
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = self.events.pop_first().expect("present");
            self.now = at;
            self.happen(event);
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
            Fault::Weather { loss, double, late } => {
                self.weather = (loss, double, late);
            }
            Fault::KillVm(vm) => self.vms[vm].process = None,
            Fault::StartVm(vm) => {
                self.numbers += 1;
                let start = self.numbers;
                self.vms[vm].launch(self.now, start, timing);
                self.schedule(1, Event::Tick(vm, start));
            }
            Fault::PauseVm(vm) => self.vms[vm].paused = true,
            Fault::ResumeVm(vm) => self.resume_vm(vm),
            Fault::KillServer(server) => self.servers[server].holder = None,
            Fault::StartServer(server) => {
                self.numbers += 1;
                let run = self.numbers;
                let entry = &mut self.servers[server];
                // Its clock starts anew with the machine.
                entry.clock.base = 0;
                entry.clock.born = self.now;
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
            Fault::StoreMute => self.store.mute = true,
            Fault::StoreUp => {
                self.store.down = false;
                self.store.mute = false;
            }
            Fault::StoreOld => self.roll_back(),
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
            Fault::GiveAway(slice) => {
                let slice = SliceIndex::new(u32::from(slice));
                self.leaving.insert(slice.expect("in range"));
            }
        }
        self.relist();
        self.replan();
    }

    /// Ends all faults and lets the domain recover.
    pub fn recover(&mut self) {
        self.fault(&Fault::Weather { loss: 0, double: 0, late: 5 });
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

    /// The slices on which a request would be executed now.
    pub fn served(&self) -> SliceSet {
        let mut served = SliceSet::new();
        for vm in self.vms.iter().filter(|vm| !vm.paused) {
            let Some(process) = &vm.process else { continue };
            let now = vm.clock.local(self.now);
            let book = process.keeper.passes(now);
            for server in self.servers.iter().filter(|s| !s.paused) {
                let Some(holder) = &server.holder else { continue };
                let time = server.time(self.now);
                for slice in slice_count().indices() {
                    let pass = book.pass(now, &server.name, slice);
                    let runs = pass.is_ok_and(|pass| {
                        holder.may_start(time, slice, pass.token)
                    });
                    if runs {
                        served.insert(slice);
                    }
                }
            }
        }
        served
    }

    /// The slices that are to be served.
    pub fn expected(&self) -> SliceSet {
        let mut slices: SliceSet = slice_count().indices().collect();
        slices.subtract(&self.leaving);
        slices
    }

    /// The longest time for which some slice was unserved, in ms, while so
    /// many milliseconds passed.
    pub fn worst_gap(&mut self, millis: u64) -> u64 {
        let mut since = [None::<u64>; 16];
        let mut worst = 0;
        for _ in 0..millis / 10 {
            self.run(10);
            let served = self.served();
            for slice in self.expected().iter() {
                let entry = &mut since[slice.position()];
                if served.contains(slice) {
                    *entry = None;
                    continue;
                }
                let start = *entry.get_or_insert(self.now);
                worst = worst.max((self.now - start) / 1_000 + 10);
            }
        }
        worst
    }

    /// Which server may execute a slice now.
    pub fn owner(&self, slice: u16) -> Option<usize> {
        let slice = SliceIndex::new(u32::from(slice)).expect("in range");
        (0..self.servers.len()).find(|s| self.may_start(*s, slice))
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|vm| self.status(*vm).leading)
    }

    pub fn status(&self, vm: usize) -> StewardStatus {
        let entry = &self.vms[vm];
        let now = entry.clock.local(self.now);
        let process = entry.process.as_ref();
        process.map(|p| p.steward.status(now)).unwrap_or_default()
    }

    /// The VM that keeps a server, as its steward has it.
    pub fn keeper_of(&self, server: usize) -> Option<usize> {
        let status = self.status(self.leader()?);
        let keeper = status.keepers.get(&self.servers[server].name)?;
        self.vms.iter().position(|vm| vm.name == *keeper)
    }

    /// The slices of servers that other VMs than this one keep.
    pub fn slices_kept_by_others(&self, vm: usize) -> SliceSet {
        let kept = |slice: &SliceIndex| {
            let owner = self.owner(slice.get());
            owner.and_then(|s| self.keeper_of(s)) != Some(vm)
        };
        slice_count().indices().filter(kept).collect()
    }

    /// The slices that the store's newest record gives to somebody.
    pub fn recorded(&self) -> SliceSet {
        let mut slices = SliceSet::new();
        let record = self.store.records.last();
        for held in record.iter().flat_map(|r| r.holders.values()) {
            slices.union_with(held);
        }
        slices
    }

    fn may_start(&self, server: usize, slice: SliceIndex) -> bool {
        let entry = &self.servers[server];
        let time = entry.time(self.now);
        let holder = entry.holder.as_ref();
        holder.is_some_and(|h| h.may_start(time, slice, highest_token()))
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
        let (loss, double, late) = self.weather;
        if self.random.chance(double) {
            self.send_one(from, to, message.clone(), loss, late);
        }
        self.send_one(from, to, message, loss, late);
    }

    fn send_one(
        &mut self,
        from: Node,
        to: Node,
        message: Message,
        loss: u64,
        late: u64,
    ) {
        let dropped = from != to && self.random.chance(loss);
        let mut delay = 200 + self.random.below(late * 200);
        if self.random.chance(20) {
            delay += self.random.below(late * 1_000);
        }
        if dropped || self.cuts.contains(&(from, to)) {
            return;
        }
        delay += self.slow.get(&(from, to)).copied().unwrap_or(0);
        self.schedule(delay, Event::Deliver { to, message });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(vm, start) => self.tick(vm, start),
            Event::Timeout { vm, start, call } => {
                if self.vms[vm].paused {
                    let event = Event::Timeout { vm, start, call };
                    self.schedule(10_000, event);
                    return;
                }
                self.time_out(vm, start, call);
            }
            Event::Deliver { to, message } => self.deliver(to, message),
        }
    }

    fn tick(&mut self, vm: usize, start: u64) {
        let current = self.vms[vm].process.as_ref().map(|p| p.start);
        if current != Some(start) {
            return;
        }
        self.schedule(TICK, Event::Tick(vm, start));
        if !self.vms[vm].paused {
            self.wake(vm);
        }
        self.check_keepers();
    }

    fn wake(&mut self, vm: usize) {
        self.refresh(vm);
        self.steward_event(vm, StewardEvent::Tick);
        self.pump_keeper(vm);
    }

    /// Reads the store once a second, as the node's watches would.
    fn refresh(&mut self, vm: usize) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        if now < process.read_at {
            return;
        }
        process.read_at = now + TimeSpan::from_millis(1_000);
        let calls =
            [StoreCall::ReadRoster, StoreCall::ReadPlan, StoreCall::ReadVms];
        for call in calls {
            self.call_store(vm, call);
        }
    }

    fn call_store(&mut self, vm: usize, call: StoreCall) {
        let Some(process) = &self.vms[vm].process else { return };
        let from = Origin { vm, start: process.start };
        let message = Message::StoreCall { from, call };
        self.send(Node::Vm(vm), Node::Store, message);
    }

    fn steward_event(&mut self, vm: usize, event: StewardEvent) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        let effects = process.steward.handle(now, event);
        for effect in effects {
            self.effect(vm, now, effect);
        }
    }

    fn effect(&mut self, vm: usize, now: LocalTime, effect: StewardEffect) {
        let Some(process) = &mut self.vms[vm].process else { return };
        let from = Origin { vm, start: process.start };
        match effect {
            StewardEffect::AskVoter { voter, ask } => {
                let known = self.vms.iter().position(|v| v.name == voter.vm);
                let Some(to) = known else { return };
                let message = Message::Confirm { from, ask, sent: now };
                self.send(Node::Vm(vm), Node::Vm(to), message);
            }
            StewardEffect::LearnRoster(version) => {
                process.voter.learn_roster(version);
            }
            StewardEffect::SaveRoster(roster) => {
                self.call_store(vm, StoreCall::SaveRoster(roster));
            }
            StewardEffect::ReadRoster => {
                self.call_store(vm, StoreCall::ReadRoster);
            }
            StewardEffect::SaveRecord(record) => {
                self.call_store(vm, StoreCall::SaveRecord(record));
            }
            StewardEffect::ReadRecord => {
                self.call_store(vm, StoreCall::ReadRecord);
            }
            StewardEffect::Publish(_) => {}
        }
    }

    fn pump_keeper(&mut self, vm: usize) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        let start = process.start;
        let orders = process.keeper.orders(now);
        let due = now >= process.keeper.poll_at() || process.ask_next;
        let due = due && now >= process.poll_until;
        for (name, _, order) in orders {
            let position = self.servers.iter().position(|s| s.name == name);
            let to = position.expect("a known server");
            self.numbers += 1;
            let call = self.numbers;
            let Some(process) = &mut self.vms[vm].process else { return };
            process.calls.insert(call, (name, now));
            let from = Origin { vm, start };
            let message = Message::Order { from, call, order };
            self.send(Node::Vm(vm), Node::Server(to), message);
            let after = CALL_TIMEOUT.as_micros();
            self.schedule(after, Event::Timeout { vm, start, call });
        }
        if due {
            self.poll(vm, now);
        }
    }

    /// Reports to the steward last seen, or to each VM in turn.
    fn poll(&mut self, vm: usize, now: LocalTime) {
        let count = self.vms.len();
        let Some(process) = &mut self.vms[vm].process else { return };
        process.polls += 1;
        process.ask_next = false;
        let seen = process.voter.latest();
        let fresh =
            seen.filter(|(_, at)| now.since(*at) < TimeSpan::from_millis(700));
        let name = fresh.map(|(ask, _)| ask.vm.clone());
        let polls = process.polls;
        let hint = process.asked.1.then_some(process.asked.0);
        process.poll_until = now + CALL_TIMEOUT;
        let report = process.keeper.report(now);
        let from = Origin { vm, start: process.start };
        let known =
            name.and_then(|n| self.vms.iter().position(|v| v.name == n));
        let to = known.or(hint).unwrap_or((vm + polls) % count);
        if let Some(process) = &mut self.vms[vm].process {
            process.asked = (to, false);
        }
        let message = Message::Report { from, report, sent: now };
        self.send(Node::Vm(vm), Node::Vm(to), message);
    }

    fn time_out(&mut self, vm: usize, start: u64, call: u64) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        if process.start != start {
            return;
        }
        if let Some((server, sent)) = process.calls.remove(&call) {
            process.keeper.unanswered(now, sent, &server);
        }
    }

    fn deliver(&mut self, to: Node, message: Message) {
        match to {
            Node::Vm(vm) if self.vms[vm].process.is_none() => {}
            Node::Vm(vm) if self.vms[vm].paused => {
                self.vms[vm].inbox.push_back(message);
            }
            Node::Vm(vm) => self.receive(vm, message),
            Node::Server(s) if self.servers[s].holder.is_none() => {}
            Node::Server(s) if self.servers[s].paused => {
                self.servers[s].inbox.push_back(message);
            }
            Node::Server(server) => self.serve(server, message),
            Node::Store => self.store_call(message),
        }
    }

    fn resume_vm(&mut self, vm: usize) {
        if !std::mem::take(&mut self.vms[vm].paused) {
            return;
        }
        // Its timers may fire before what sat in its sockets is read.
        if self.random.chance(50) {
            self.wake(vm);
        }
        while let Some(message) = self.vms[vm].inbox.pop_front() {
            self.receive(vm, message);
        }
    }

    fn resume_server(&mut self, server: usize) {
        self.servers[server].paused = false;
        while let Some(message) = self.servers[server].inbox.pop_front() {
            self.serve(server, message);
        }
    }

    fn receive(&mut self, vm: usize, message: Message) {
        let now = self.vms[vm].clock.local(self.now);
        let own = self.vms[vm].process.as_ref().map(|p| p.start);
        let own = own.unwrap_or_default();
        match message {
            Message::Confirm { from, ask, sent } => {
                self.confirm(vm, now, from, ask, sent);
            }
            Message::Confirmed(reply) if reply.start == own => {
                let event = StewardEvent::Answered {
                    voter: reply.voter,
                    sent: reply.sent,
                    term: reply.term,
                    roster: reply.roster,
                    answer: reply.answer,
                };
                self.steward_event(vm, event);
            }
            Message::Report { from, report, sent } => {
                let Some(process) = &mut self.vms[vm].process else { return };
                let answer = process.steward.permit(now, report);
                let start = from.start;
                let message = Message::Permit { start, sent, answer };
                self.send(Node::Vm(vm), Node::Vm(from.vm), message);
            }
            Message::Permit { start, sent, answer } if start == own => {
                self.take_permit(vm, now, sent, answer);
            }
            Message::Reply { start, call, reply } if start == own => {
                self.take_reply(vm, now, call, &reply);
            }
            Message::StoreReply { start, event } if start == own => {
                self.note_saved(&event);
                self.steward_event(vm, *event);
            }
            _ => {}
        }
        self.pump_keeper(vm);
    }

    fn confirm(
        &mut self,
        vm: usize,
        now: LocalTime,
        from: Origin,
        ask: ConfirmAsk,
        sent: LocalTime,
    ) {
        let voter = self.vms[vm].name.clone();
        let Some(process) = &mut self.vms[vm].process else { return };
        let latest = process.voter.latest();
        let known = latest.map(|(ask, _)| ask.vm.clone());
        let answer = process.voter.confirm(now, &ask);
        if answer == ConfirmAnswer::Confirmed && known != Some(ask.vm.clone())
        {
            process.ask_next = true;
            process.poll_until = now;
        }
        let reply = VoterReply {
            start: from.start,
            voter,
            sent,
            term: ask.term,
            roster: ask.roster,
            answer,
        };
        let message = Message::Confirmed(Box::new(reply));
        self.send(Node::Vm(vm), Node::Vm(from.vm), message);
        if answer == ConfirmAnswer::Confirmed {
            let event = StewardEvent::StewardSeen { ask, at: now };
            self.steward_event(vm, event);
        }
    }

    fn take_permit(
        &mut self,
        vm: usize,
        now: LocalTime,
        sent: LocalTime,
        answer: PermitAnswer,
    ) {
        let Some(process) = &mut self.vms[vm].process else { return };
        process.poll_until = now;
        process.asked.1 = true;
        if matches!(answer, PermitAnswer::NotSteward { .. }) {
            process.asked.1 = false;
            process.ask_next = true;
            process.poll_until = now + TimeSpan::from_millis(50);
        }
        process.keeper.permitted(now, sent, answer);
    }

    fn take_reply(
        &mut self,
        vm: usize,
        now: LocalTime,
        call: u64,
        reply: &GrantReply,
    ) {
        let Some(process) = &mut self.vms[vm].process else { return };
        if let Some((server, sent)) = process.calls.remove(&call) {
            process.keeper.replied(now, sent, &server, reply);
        }
    }

    fn serve(&mut self, server: usize, message: Message) {
        let Message::Order { from, call, order } = message else { return };
        let entry = &mut self.servers[server];
        let time = entry.time(self.now);
        let Some(holder) = &mut entry.holder else { return };
        let reply = holder.apply(time, &order);
        let grants = order.slices.is_some() || order.accept_by.is_some();
        if reply.accepted && grants {
            if entry.checks_fence && order.token < entry.accepted {
                let text = format!("{} took an old token", entry.name);
                self.violations.push(text);
            }
            let entry = &mut self.servers[server];
            entry.accepted = entry.accepted.max(order.token);
            self.check_owners(server);
        }
        let start = from.start;
        let message = Message::Reply { start, call, reply };
        self.send(Node::Server(server), Node::Vm(from.vm), message);
    }

    fn store_call(&mut self, message: Message) {
        let Message::StoreCall { from, call } = message else { return };
        if let Some(event) = self.store.call(call) {
            let event = Box::new(event);
            let message = Message::StoreReply { start: from.start, event };
            self.send(Node::Store, Node::Vm(from.vm), message);
        }
    }

    fn note_saved(&mut self, event: &StewardEvent) {
        let StewardEvent::RecordSaved(token) = event else { return };
        let mut records = self.store.records.iter();
        let saved = records.find(|record| record.token == *token);
        let released = saved.and_then(|r| r.released.get(&service_name()));
        if let Some(released) = released {
            self.gone.union_with(released);
        }
    }

    /// The oracle: no slice may be started at two servers, and none that
    /// has left the domain at any.
    fn check_owners(&mut self, server: usize) {
        for slice in slice_count().indices() {
            if !self.may_start(server, slice) {
                continue;
            }
            let others = (0..self.servers.len()).filter(|s| *s != server);
            let mut owners = others.filter(|s| self.may_start(*s, slice));
            if let Some(other) = owners.next() {
                let text = format!(
                    "{}us: slice {} at s-{server} and s-{other}",
                    self.now,
                    slice.get()
                );
                self.violations.push(text);
            }
            if self.gone.contains(slice) {
                let text = format!("slice {} came back", slice.get());
                self.violations.push(text);
            }
        }
    }

    /// The oracle: a server that checks no fence has one keeper.
    fn check_keepers(&mut self) {
        for server in self.servers.iter().filter(|s| !s.checks_fence) {
            let keeps = |vm: &&Vm| {
                let now = vm.clock.local(self.now);
                let process = vm.process.as_ref();
                let book = process.map(|p| p.keeper.passes(now));
                let passes =
                    book.as_ref().and_then(|b| b.servers.get(&server.name));
                passes.is_some_and(|p| now < p.until && !p.slices.is_empty())
            };
            if self.vms.iter().filter(keeps).count() > 1 {
                let text = format!("{} has two keepers", server.name);
                self.violations.push(text);
            }
        }
    }

    fn roll_back(&mut self) {
        if self.store.records.len() > 1 {
            let newest = self.store.records.pop().expect("present");
            // What left the domain is in the planner's record as well.
            let last = self.store.records.last_mut().expect("present");
            last.released = newest.released;
        }
    }

    fn ask_move(&mut self, slice: u16, server: usize) {
        let wanted = SliceMove {
            service: service_name(),
            slice: SliceIndex::new(u32::from(slice)).expect("in range"),
            target: self.servers[server].name.clone(),
        };
        for vm in 0..self.vms.len() {
            if !self.vms[vm].paused {
                let moves = vec![wanted.clone()];
                self.steward_event(vm, StewardEvent::MovesAsked(moves));
            }
        }
    }

    fn relist(&mut self) {
        let listed = self.vms.iter().filter(|vm| vm.listed);
        self.store.vms = listed.map(Vm::as_voter).collect();
        if self.list_empty {
            self.store.vms.clear();
        }
    }

    fn replan(&mut self) {
        let version = self.plan_version;
        let plan = make_plan(version, &self.servers, &self.leaving);
        if self.store.plan.as_deref() != Some(&plan) {
            self.plan_version += 1;
            let plan = make_plan(version + 1, &self.servers, &self.leaving);
            self.store.plan = Some(Arc::new(plan));
        }
    }
}

fn highest_token() -> FenceToken {
    let term = TermId { number: u64::MAX, vm: u64::MAX, start: u64::MAX };
    FenceToken { term, sequence: u64::MAX }
}
