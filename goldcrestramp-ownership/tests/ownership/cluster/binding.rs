//! Connects a VM's machines to time and messages, as a node does.

use goldcrestramp_ownership::{StewardEffect, StewardEvent};
use goldcrestramp_types::{LocalTime, TimeSpan};

use super::{CALL_TIMEOUT, Event, SimulatedCluster, TICK};
use crate::message::{Message, Node, Origin, StoreCall};

impl SimulatedCluster {
    pub(super) fn tick(&mut self, vm: usize, start: u64) {
        let current = self.vms[vm].process.as_ref().map(|p| p.start);
        if current != Some(start) {
            return;
        }
        self.schedule(TICK, Event::Tick(vm, start));
        if !self.vms[vm].paused {
            self.run_machines(vm);
        }
        self.check_keepers();
    }

    pub(super) fn run_machines(&mut self, vm: usize) {
        self.read_store(vm);
        self.steward_event(vm, StewardEvent::Tick);
        self.run_keeper(vm);
    }

    /// Reads the store once a second, in place of the node's watches.
    pub(super) fn read_store(&mut self, vm: usize) {
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

    pub(super) fn call_store(&mut self, vm: usize, call: StoreCall) {
        let Some(process) = &self.vms[vm].process else { return };
        let from = Origin { vm, start: process.start };
        let message = Message::StoreCall { from, call };
        self.send(Node::Vm(vm), Node::Store, message);
    }

    pub(super) fn steward_event(&mut self, vm: usize, event: StewardEvent) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        let effects = process.steward.handle(now, event);
        for effect in effects {
            self.effect(vm, now, effect);
        }
    }

    pub(super) fn effect(
        &mut self,
        vm: usize,
        now: LocalTime,
        effect: StewardEffect,
    ) {
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
            StewardEffect::LearnPlan(version) => {
                process.voter.learn_plan(version);
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

    pub(super) fn run_keeper(&mut self, vm: usize) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        let start = process.start;
        let orders = process.keeper.orders(now);
        let due = now >= process.keeper.poll_at() || process.try_next;
        let due = due && now >= process.poll_until;
        for (name, _, order) in orders {
            let position = self.servers.iter().position(|s| s.name == name);
            let to = position.expect("server is known");
            self.last_number += 1;
            let call = self.last_number;
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

    /// Reports to the steward last seen, or to one VM after another.
    pub(super) fn poll(&mut self, vm: usize, now: LocalTime) {
        let count = self.vms.len();
        let Some(process) = &mut self.vms[vm].process else { return };
        process.polls += 1;
        process.try_next = false;
        let seen = process.voter.latest();
        let fresh =
            seen.filter(|(_, at)| now.since(*at) < TimeSpan::from_millis(700));
        let name = fresh.map(|(ask, _)| ask.vm.clone());
        let polls = process.polls;
        let hint = process.last_polled.1.then_some(process.last_polled.0);
        process.poll_until = now + CALL_TIMEOUT;
        let report = process.keeper.report(now);
        let from = Origin { vm, start: process.start };
        let known =
            name.and_then(|n| self.vms.iter().position(|v| v.name == n));
        let to = known.or(hint).unwrap_or((vm + polls) % count);
        if let Some(process) = &mut self.vms[vm].process {
            process.last_polled = (to, false);
        }
        let message = Message::Report { from, report, sent: now };
        self.send(Node::Vm(vm), Node::Vm(to), message);
    }

    pub(super) fn expire_call(&mut self, vm: usize, start: u64, call: u64) {
        let now = self.vms[vm].clock.local(self.now);
        let Some(process) = &mut self.vms[vm].process else { return };
        if process.start != start {
            return;
        }
        if let Some((server, sent)) = process.calls.remove(&call) {
            process.keeper.record_no_reply(now, sent, &server);
        }
    }
}
