//! Passes: the permission of a keeper's traffic threads to send requests.

use std::sync::Arc;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, ServerTime, SliceIndex,
    SliceSet,
};

/// Permission to send one request to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendPass {
    /// The fencing token to send.
    pub token: FenceToken,
    /// The random number of the server's instance by whose clock the times
    /// are given.
    pub run: u64,
    /// When the grant ends: the request must start earlier, by the server's
    /// clock.
    pub start_by: ServerTime,
    /// A reading of the server's clock.
    pub server_clock: ServerTime,
    /// The latest local time at which `server_clock` was read.
    pub read_at: LocalTime,
}

impl SendPass {
    /// Whether the grant has ended by the server's clock.
    #[must_use]
    pub fn has_ended(&self, now: LocalTime) -> bool {
        self.server_clock + now.since(self.read_at) >= self.start_by
    }
}

/// Why a request may not be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassRefusal {
    /// This VM is not the keeper of that server.
    NotKeeper,
    /// The server does not hold the slice.
    NotHeld,
    /// The permit or the grant has expired.
    Lapsed,
}

/// An immutable snapshot of what the traffic threads may send.
#[derive(Clone, Debug, Default)]
pub struct PassTable {
    /// The passes for each server that this VM keeps.
    pub servers: FastMap<ServerName, Arc<ServerPasses>>,
}

/// The part of a [`PassTable`] for one server.
#[derive(Clone, Debug)]
pub struct ServerPasses {
    /// The slices that the server holds and is not to release.
    pub slices: Arc<SliceSet>,
    /// The pass, the same for each of these slices.
    pub pass: SendPass,
    /// When the keeper must stop sending.
    pub until: LocalTime,
}

impl PassTable {
    /// Returns the pass for a request on `slice` to `server` at `now`.
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

    /// Whether a request on `slice` that was sent to `server` with the pass
    /// `sent` may still start there.
    ///
    /// If not, the server refuses it whatever its load.
    #[must_use]
    pub fn is_current(
        &self,
        now: LocalTime,
        server: &ServerName,
        slice: SliceIndex,
        sent: &SendPass,
    ) -> bool {
        let same =
            |pass: SendPass| pass.token == sent.token && pass.run == sent.run;
        self.pass(now, server, slice).is_ok_and(same) && !sent.has_ended(now)
    }
}
