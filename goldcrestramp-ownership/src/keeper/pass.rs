//! What the traffic threads of a keeper may send.

use std::sync::Arc;

use goldcrestramp_types::{
    FastMap, FenceToken, LocalTime, ServerName, ServerTime, SliceIndex,
    SliceSet,
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
pub struct PassTable {
    /// What may be sent to each server that this VM keeps.
    pub servers: FastMap<ServerName, Arc<ServerPasses>>,
}

/// The part of a [`PassTable`] for one server.
#[derive(Clone, Debug)]
pub struct ServerPasses {
    /// The slices that it holds and is to keep.
    pub slices: Arc<SliceSet>,
    /// The pass for each of them.
    pub pass: SendPass,
    /// When the keeper must stop sending.
    pub until: LocalTime,
}

impl PassTable {
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
