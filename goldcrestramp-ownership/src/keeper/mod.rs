//! A keeper: the one VM that may send to a given server.

mod pass;
mod server;

use std::{collections::BTreeMap, sync::Arc};

use goldcrestramp_types::{
    LocalTime, ServerName, SliceSet, TermId, TimeSpan, VmName,
};
use goldcrestramp_wire::server::{GrantOrder, GrantReply};

pub use self::pass::{PassRefusal, PassTable, SendPass, ServerPasses};
use self::server::KeptServer;
use crate::{
    message::{KeeperReport, PermitAnswer, ServerOrder},
    safeguard::Safeguard,
    timing::TermTiming,
};

/// The keeper of a VM: permits in, orders to servers out.
#[derive(Clone, Debug)]
pub struct KeeperMachine {
    vm: VmName,
    address: Arc<str>,
    start: u64,
    timing: TermTiming,
    leaving: bool,
    sequence: u64,
    /// Versions of server states; never used twice in a process.
    versions: u64,
    term: TermId,
    until: LocalTime,
    poll_at: LocalTime,
    servers: BTreeMap<ServerName, KeptServer>,
}

impl KeeperMachine {
    /// A keeper on a VM whose process has this start number.
    #[must_use]
    pub fn new(
        vm: VmName,
        address: Arc<str>,
        start: u64,
        timing: TermTiming,
    ) -> Self {
        Self {
            vm,
            address,
            start,
            timing,
            leaving: false,
            sequence: 0,
            versions: 0,
            term: TermId::default(),
            until: LocalTime::default(),
            poll_at: LocalTime::default(),
            servers: BTreeMap::new(),
        }
    }

    /// Says whether this VM is leaving: its servers go to other VMs.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// The servers that this VM keeps, as last ordered by the steward.
    #[must_use]
    pub fn servers(&self) -> Vec<Arc<ServerOrder>> {
        self.servers.values().map(KeptServer::order).collect()
    }

    /// Tells on which slices of a server this VM has non-idempotent work
    /// under way; they are not reported as released until it has ended.
    ///
    /// Otherwise a later owner's work could overlap it.
    pub fn set_running(&mut self, server: &ServerName, slices: SliceSet) {
        let kept = self.servers.get_mut(server);
        if kept.is_some_and(|kept| kept.set_running(slices)) {
            self.poll_at = LocalTime::default();
        }
    }

    /// When [`report`](Self::report) is due next; sooner when there is news.
    #[must_use]
    pub const fn poll_at(&self) -> LocalTime {
        self.poll_at
    }

    /// Whether this VM keeps nothing any more, not even for a retirement.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// What to tell the steward, with the question for a permit.
    ///
    /// At most one report is under way: an answer to an earlier one is
    /// dropped by [`permitted`](Self::permitted).
    #[must_use]
    pub fn report(&mut self, now: LocalTime) -> KeeperReport {
        self.sequence += 1;
        self.poll_at = now + self.timing.renew_every;
        self.servers.retain(|_, kept| !kept.is_done(now));
        // A server without fences may have another keeper by now; only one
        // whose permit never lapsed may claim it from a new steward.
        let lapsed = now >= self.until;
        self.servers.retain(|_, kept| !lapsed || kept.checks_fence());
        for kept in self.servers.values_mut() {
            kept.refresh_state(now, &mut self.versions);
        }
        KeeperReport {
            vm: self.vm.clone(),
            address: Arc::clone(&self.address),
            start: self.start,
            sequence: self.sequence,
            term: self.term,
            leaving: self.leaving,
            servers: self.servers.values().map(KeptServer::report).collect(),
        }
    }

    /// Takes the steward's answer to the question sent at `sent`.
    pub fn permitted(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        answer: PermitAnswer,
    ) {
        let PermitAnswer::Permitted { term, sequence, valid, again, orders } =
            answer
        else {
            return;
        };
        // A steward concludes from a report what this keeper no longer
        // does; an older answer taken after it would make that untrue.
        if sequence != self.sequence || term < self.term {
            return;
        }
        // The permit under which the report claimed them has lapsed since.
        let stale = term != self.term && now >= self.until;
        if stale && self.servers.values().any(|kept| !kept.checks_fence()) {
            self.poll_at = now;
            return;
        }
        // A steward that counts by a larger roster may permit less than
        // before. The grants of before live on: with its permit ended, this
        // keeper would forget them, and say that the server holds nothing.
        // The steward reckons with the longest permit that it gave.
        let longest = self.timing.safeguards.has(Safeguard::LongestPermit);
        let mut until = sent + self.timing.shortened(valid);
        if longest && term == self.term {
            until = until.max(self.until);
        }
        self.term = term;
        self.until = until;
        self.poll_at = now + again.min(self.timing.renew_every);
        self.follow(now, orders);
        for kept in self.servers.values_mut() {
            kept.renew(now, sent, &self.timing);
        }
    }

    /// Keeps the named servers and no other.
    fn follow(&mut self, now: LocalTime, orders: Vec<ServerOrder>) {
        let mut kept = std::mem::take(&mut self.servers);
        for order in orders {
            let name = order.server.clone();
            let mut server = kept.remove(&name).unwrap_or_else(|| {
                self.versions += 1;
                KeptServer::new(order.clone(), self.versions)
            });
            server.instruct(now, order, &self.timing);
            self.servers.insert(name, server);
        }
    }

    /// The orders to send to servers now; at most one each is under way.
    pub fn orders(
        &mut self,
        now: LocalTime,
    ) -> Vec<(ServerName, Arc<str>, GrantOrder)> {
        let mut orders = Vec::new();
        for (name, kept) in &mut self.servers {
            let next = kept.next_order(now, self.until, &self.timing);
            if let Some((address, order)) = next {
                orders.push((name.clone(), address, order));
            }
        }
        orders
    }

    /// Takes a server's reply to the order sent at `sent`.
    pub fn replied(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        server: &ServerName,
        reply: &GrantReply,
    ) {
        let Some(kept) = self.servers.get_mut(server) else {
            return;
        };
        let answered = kept.replied(now, sent, reply, &self.timing);
        if answered && kept.refresh_state(now, &mut self.versions) {
            self.poll_at = self.poll_at.min(now);
        }
    }

    /// Notes that the order sent at `sent` got no reply.
    pub fn record_no_reply(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        server: &ServerName,
    ) {
        if let Some(kept) = self.servers.get_mut(server) {
            kept.record_no_reply(now, sent);
        }
    }

    /// What the traffic threads may do from now on.
    #[must_use]
    pub fn passes(&self, now: LocalTime) -> PassTable {
        let mut book = PassTable::default();
        if now >= self.until {
            return book;
        }
        for (name, kept) in &self.servers {
            if let Some(passes) = kept.passes(self.until) {
                book.servers.insert(name.clone(), Arc::new(passes));
            }
        }
        book
    }

    /// Until when this keeper may act.
    #[must_use]
    pub fn until(&self) -> LocalTime {
        self.until
    }

    /// How long until this keeper must stop, for operators.
    #[must_use]
    pub const fn left(&self, now: LocalTime) -> TimeSpan {
        self.until.since(now)
    }
}
