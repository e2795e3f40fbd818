//! A keeper: the one VM that may send to a given server.

use std::sync::Arc;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, ServerTime, SliceIndex,
    SliceSet, VmName,
};
use goldcrestramp_wire::server::{GrantOrder, GrantReply};

use crate::{
    message::{KeeperReport, PermitAnswer, ServerOrder},
    timing::TermTiming,
};

/// Leave to send one request to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPass {
    /// The fencing token to send.
    pub token: FenceToken,
    /// The server's run for which the times hold.
    pub run: u64,
    /// The last moment to start, in the server's clock.
    pub start_by: ServerTime,
    /// A moment of the server's clock...
    pub server_clock: ServerTime,
    /// ...and the latest moment of ours at which it was read.
    pub read_at: LocalTime,
}

/// Why a request may not be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassRefusal {
    /// This VM does not keep that server.
    NotKeeper,
    /// The server does not hold the slice.
    NotHeld,
    /// The permit or the grant has run out.
    Lapsed,
}

/// What the traffic threads may do, as of one moment: immutable.
#[derive(Clone, Debug, Default)]
pub struct PassBook {
    /// What may be sent to each server that this VM keeps.
    pub servers: FastMap<ServerName, Arc<ServerPasses>>,
}

/// The part of a [`PassBook`] for one server.
#[derive(Clone, Debug)]
pub struct ServerPasses {
    /// The slices that it holds and is to keep.
    pub slices: SliceSet,
    /// The pass for each of them.
    pub pass: SendPass,
    /// When the keeper must stop sending.
    pub until: LocalTime,
}

impl PassBook {
    /// Leave to send a request on `slice` to `server` at `now`.
    ///
    /// # Errors
    ///
    /// A [`PassRefusal`] when this VM may not send it.
    pub fn pass(
        &self,
        now: LocalTime,
        server: &ServerName,
        slice: SliceIndex,
    ) -> Result<SendPass, PassRefusal> {
        let passes = self.servers.get(server).ok_or(PassRefusal::NotKeeper)?;
        if now >= passes.until {
            return Err(PassRefusal::Lapsed);
        }
        if !passes.slices.contains(slice) {
            return Err(PassRefusal::NotHeld);
        }
        Ok(passes.pass)
    }
}

/// The keeper of a VM: permits in, orders to servers out.
#[derive(Clone, Debug)]
pub struct KeeperMachine {
    #[expect(dead_code, reason = "the machine is not written yet")]
    timing: TermTiming,
}

impl KeeperMachine {
    /// A keeper on a VM whose process has this start number.
    #[must_use]
    pub fn new(
        _vm: VmName,
        _address: Arc<str>,
        _start: u64,
        timing: TermTiming,
    ) -> Self {
        Self { timing }
    }

    /// What to tell the steward, with the question for a permit.
    #[must_use]
    pub fn report(&self, _now: LocalTime) -> KeeperReport {
        unimplemented!("written with the ownership machines")
    }

    /// Takes the steward's answer to the question sent at `sent`.
    pub fn permitted(
        &mut self,
        _now: LocalTime,
        _sent: LocalTime,
        _answer: PermitAnswer,
    ) {
        unimplemented!("written with the ownership machines")
    }

    /// The orders to send to servers now; at most one each is under way.
    pub fn orders(
        &mut self,
        _now: LocalTime,
    ) -> Vec<(ServerName, Arc<str>, GrantOrder)> {
        unimplemented!("written with the ownership machines")
    }

    /// Takes a server's reply to the order sent at `sent`.
    pub fn replied(
        &mut self,
        _now: LocalTime,
        _sent: LocalTime,
        _server: &ServerName,
        _reply: &GrantReply,
    ) {
        unimplemented!("written with the ownership machines")
    }

    /// Notes that the order sent at `sent` got no reply.
    pub fn unanswered(
        &mut self,
        _now: LocalTime,
        _sent: LocalTime,
        _server: &ServerName,
    ) {
        unimplemented!("written with the ownership machines")
    }

    /// The servers that this VM keeps, as last ordered by the steward.
    #[must_use]
    pub fn servers(&self) -> Vec<Arc<ServerOrder>> {
        unimplemented!("written with the ownership machines")
    }

    /// Tells on which slices of a server this VM has non-idempotent work
    /// under way; they are not reported as released until it has ended.
    pub fn set_running(&mut self, _server: &ServerName, _slices: SliceSet) {
        unimplemented!("written with the ownership machines")
    }

    /// What the traffic threads may do from now on.
    #[must_use]
    pub fn passes(&self, _now: LocalTime) -> PassBook {
        unimplemented!("written with the ownership machines")
    }
}
