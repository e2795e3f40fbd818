//! Admin calls, which inject faults into the platform and read its counters.

use goldcrestramp_platform::VmEntry;
use warp::{Reply, http::StatusCode, reply::Response as WarpResponse};

use super::{faults::PlatformFaults, shared::PlatformShared};

/// `PUT /vms`: replaces the true VM list.
pub(super) fn set_vms(
    vms: Vec<VmEntry>,
    shared: &PlatformShared,
) -> WarpResponse {
    shared.set_vms(vms);
    StatusCode::OK.into_response()
}

/// `GET /faults`.
pub(super) fn read_faults(shared: &PlatformShared) -> WarpResponse {
    warp::reply::json(&shared.state().faults).into_response()
}

/// `POST /faults`: replaces all faults; absent fields are the defaults.
pub(super) fn set_faults(
    faults: PlatformFaults,
    shared: &PlatformShared,
) -> WarpResponse {
    shared.set_faults(faults);
    StatusCode::OK.into_response()
}

/// `POST /snapshot`: saves a copy of all values.
pub(super) fn save(shared: &PlatformShared) -> WarpResponse {
    shared.state().save();
    StatusCode::OK.into_response()
}

/// `POST /restore`: restores the saved copy.
pub(super) fn restore(shared: &PlatformShared) -> WarpResponse {
    shared.restore();
    StatusCode::OK.into_response()
}

/// `GET /counts`.
pub(super) fn read_counts(shared: &PlatformShared) -> WarpResponse {
    warp::reply::json(&shared.state().tally).into_response()
}
