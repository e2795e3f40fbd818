//! The keeper state machine. A keeper is the only VM that may send requests
//! to a given server.
//!
//! It asks the steward for permits and renews the grants of its servers.

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

/// The keeper of one VM: receives permits and sends grant orders to servers.
#[derive(Clone, Debug)]
pub struct KeeperMachine {
    vm: VmName,
    address: Arc<str>,
    start: u64,
    timing: TermTiming,
    leaving: bool,
    sequence: u64,
    /// The last version given to a server state. A process never reuses one.
    versions: u64,
    term: TermId,
    /// When the permit expires.
    until: LocalTime,
    poll_at: LocalTime,
    servers: BTreeMap<ServerName, KeptServer>,
}

impl KeeperMachine {
    /// Creates a keeper without a permit. `start` is the start number of the
    /// VM's process.
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

    /// Sets whether this VM is leaving. If so, the steward assigns its servers
    /// to other VMs.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// The steward's newest order for each server that this VM keeps.
    #[must_use]
    pub fn servers(&self) -> Vec<Arc<ServerOrder>> {
        self.servers.values().map(KeptServer::order).collect()
    }

    /// Sets the slices of a server on which this VM has non-idempotent
    /// requests in flight.
    ///
    /// They are not reported as released until these requests have ended.
    /// Otherwise requests of a later owner could overlap them.
    pub fn set_running(&mut self, server: &ServerName, slices: SliceSet) {
        let kept = self.servers.get_mut(server);
        if kept.is_some_and(|kept| kept.set_running(slices)) {
            self.poll_at = LocalTime::default();
        }
    }

    /// When [`report`](Self::report) is due next. A change of a server's state
    /// brings it forward.
    #[must_use]
    pub const fn poll_at(&self) -> LocalTime {
        self.poll_at
    }

    /// Whether this VM keeps no server, not even one that it is retiring from.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.servers.is_empty()
    }

    /// Creates the report to the steward, which also asks for a permit.
    ///
    /// At most one report is in flight: [`permitted`](Self::permitted) drops
    /// an answer to an earlier one.
    #[must_use]
    pub fn report(&mut self, now: LocalTime) -> KeeperReport {
        self.sequence += 1;
        self.poll_at = now + self.timing.renew_interval;
        self.servers.retain(|_, kept| !kept.is_done(now));
        // A server without fences may have another keeper by now. Only a
        // keeper whose permit never lapsed may claim it from a new steward.
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

    /// Applies the steward's answer to the report sent at `sent`.
    pub fn permitted(
        &mut self,
        now: LocalTime,
        sent: LocalTime,
        answer: PermitAnswer,
    ) {
        let PermitAnswer::Permitted { term, sequence, valid, delay, orders } =
            answer
        else {
            return;
        };
        // The steward concludes from a report what this keeper no longer
        // does. Applying an older answer after the report would break that.
        if sequence != self.sequence || term < self.term {
            return;
        }
        // The permit under which the report claimed the servers has lapsed.
        let stale = term != self.term && now >= self.until;
        if stale && self.servers.values().any(|kept| !kept.checks_fence()) {
            self.poll_at = now;
            return;
        }
        // A steward that counts a majority of a larger roster may give a
        // shorter permit than before, while earlier grants are still valid.
        // If the permit ended before them, this keeper would lose them and
        // report that the server holds nothing. The steward allows for the
        // longest permit that it gave.
        let longest = self.timing.safeguards.has(Safeguard::LongestPermit);
        let mut until = sent + self.timing.shortened(valid);
        if longest && term == self.term {
            until = until.max(self.until);
        }
        self.term = term;
        self.until = until;
        self.poll_at = now + delay.min(self.timing.renew_interval);
        self.apply_orders(now, orders);
        for kept in self.servers.values_mut() {
            kept.record_permit(now, sent, &self.timing);
        }
    }

    /// Keeps the servers named in `orders` and drops all others.
    fn apply_orders(&mut self, now: LocalTime, orders: Vec<ServerOrder>) {
        let mut kept = std::mem::take(&mut self.servers);
        for order in orders {
            let name = order.server.clone();
            let mut server = kept.remove(&name).unwrap_or_else(|| {
                self.versions += 1;
                KeptServer::new(order.clone(), self.versions)
            });
            server.set_order(now, order, &self.timing);
            self.servers.insert(name, server);
        }
    }

    /// The orders to send now, each with its server and the server's address.
    /// At most one order per server is in flight.
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

    /// Applies a server's reply to the order sent at `sent`.
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
        let accepted = kept.replied(now, sent, reply, &self.timing);
        if accepted && kept.refresh_state(now, &mut self.versions) {
            self.poll_at = self.poll_at.min(now);
        }
    }

    /// Records that the order sent at `sent` got no reply.
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

    /// The servers and slices to which the traffic threads may send from now
    /// on.
    #[must_use]
    pub fn passes(&self, now: LocalTime) -> PassTable {
        let mut table = PassTable::default();
        if now >= self.until {
            return table;
        }
        for (name, kept) in &self.servers {
            if let Some(passes) = kept.passes(self.until) {
                table.servers.insert(name.clone(), Arc::new(passes));
            }
        }
        table
    }

    /// When the permit expires. From then on this keeper sends nothing.
    #[must_use]
    pub fn until(&self) -> LocalTime {
        self.until
    }

    /// The remaining time of the permit, shown to operators.
    #[must_use]
    pub const fn remaining(&self, now: LocalTime) -> TimeSpan {
        self.until.since(now)
    }
}
