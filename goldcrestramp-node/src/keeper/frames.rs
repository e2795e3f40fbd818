//! Builds the frames of a keeper's response to a gateway.

use goldcrestramp_types::{
    NotRunReason, ServerName, TimeSpan, UnknownReason, VmName,
};
use goldcrestramp_wire::peer::{
    RouteEnd, RouteFrame, RouteHead, RouteNotRun, RouteRedirect, RouteUnknown,
    route_frame::Frame,
};

const fn frame(frame: Frame) -> RouteFrame {
    RouteFrame { frame: Some(frame), spent_micros: 0 }
}

pub(crate) fn not_run(
    reason: NotRunReason,
    retry_after: TimeSpan,
) -> RouteFrame {
    frame(Frame::NotRun(RouteNotRun {
        reason: reason.code().to_owned(),
        retry_after_micros: retry_after.as_micros(),
    }))
}

pub(crate) fn unknown(reason: UnknownReason) -> RouteFrame {
    let reason = reason.code().to_owned();
    frame(Frame::Unknown(RouteUnknown { reason }))
}

pub(crate) fn redirect(
    keeper: &VmName,
    address: &str,
    server: &ServerName,
) -> RouteFrame {
    frame(Frame::Redirect(RouteRedirect {
        vm: keeper.to_string(),
        address: address.to_owned(),
        table: None,
        server: server.to_string(),
    }))
}

pub(crate) const fn head(head: RouteHead) -> RouteFrame {
    frame(Frame::Head(head))
}

pub(crate) const fn data(data: bytes::Bytes) -> RouteFrame {
    frame(Frame::Data(data))
}

pub(crate) const fn end(length: u64) -> RouteFrame {
    frame(Frame::End(RouteEnd { length }))
}
