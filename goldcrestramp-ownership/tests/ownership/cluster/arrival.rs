//! The delivery of messages to VMs, servers and the store.

use goldcrestramp_ownership::{
    ConfirmAnswer, ConfirmAsk, PermitAnswer, StewardEvent,
};
use goldcrestramp_types::{LocalTime, TimeSpan};
use goldcrestramp_wire::server::GrantReply;

use super::SimulatedCluster;
use crate::{
    message::{Message, Node, Origin, VoterReply},
    nodes::service_name,
};

impl SimulatedCluster {
    pub(super) fn deliver(&mut self, to: Node, message: Message) {
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
            Node::Server(server) => self.receive_order(server, message),
            Node::Store => self.receive_store_call(message),
        }
    }

    pub(super) fn resume_vm(&mut self, vm: usize) {
        if !std::mem::take(&mut self.vms[vm].paused) {
            return;
        }
        // Its timers may fire before it reads the messages in its sockets.
        if self.random.chance(50) {
            self.run_machines(vm);
        }
        while let Some(message) = self.vms[vm].inbox.pop_front() {
            self.receive(vm, message);
        }
    }

    pub(super) fn resume_server(&mut self, server: usize) {
        self.servers[server].paused = false;
        while let Some(message) = self.servers[server].inbox.pop_front() {
            self.receive_order(server, message);
        }
    }

    pub(super) fn receive(&mut self, vm: usize, message: Message) {
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
                self.apply_permit(vm, now, sent, answer);
            }
            Message::Reply { start, call, reply } if start == own => {
                self.apply_reply(vm, now, call, &reply);
            }
            Message::StoreReply { start, event } if start == own => {
                self.record_releases(&event);
                self.steward_event(vm, *event);
            }
            _ => {}
        }
        self.run_keeper(vm);
    }

    pub(super) fn confirm(
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
            process.try_next = true;
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

    pub(super) fn apply_permit(
        &mut self,
        vm: usize,
        now: LocalTime,
        sent: LocalTime,
        answer: PermitAnswer,
    ) {
        let Some(process) = &mut self.vms[vm].process else { return };
        process.poll_until = now;
        process.last_polled.1 = true;
        if matches!(answer, PermitAnswer::NotSteward { .. }) {
            process.last_polled.1 = false;
            process.try_next = true;
            process.poll_until = now + TimeSpan::from_millis(50);
        }
        process.keeper.permitted(now, sent, answer);
    }

    pub(super) fn apply_reply(
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

    pub(super) fn receive_order(&mut self, server: usize, message: Message) {
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

    pub(super) fn receive_store_call(&mut self, message: Message) {
        let Message::StoreCall { from, call } = message else { return };
        if let Some(event) = self.store.call(call) {
            let event = Box::new(event);
            let message = Message::StoreReply { start: from.start, event };
            self.send(Node::Store, Node::Vm(from.vm), message);
        }
    }

    pub(super) fn record_releases(&mut self, event: &StewardEvent) {
        let StewardEvent::RecordSaved(token) = event else { return };
        let mut records = self.store.records.iter();
        let saved = records.find(|record| record.token == *token);
        let released = saved.and_then(|r| r.released.get(&service_name()));
        if let Some(released) = released {
            self.released.union_with(released);
        }
    }
}
