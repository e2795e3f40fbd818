//! The HTTP routes that callers use.

use std::sync::Arc;

use bytes::Buf;
use futures_util::Stream;
use goldcrestramp_types::{NotRunReason, TimeSpan, UnknownReason};
use warp::{
    Filter, Rejection,
    http::{HeaderMap, HeaderValue, Method, header},
    reply::Response as WarpResponse,
};

use crate::{
    context::NodeContext,
    gateway::{
        answer,
        places::GatewayPlaces,
        request::{self, BodyFault, CallerRequest, RequestFault},
        retry::jittered,
        route::RequestRouter,
    },
};

/// When a caller may come back to a full gateway: some of what is under
/// way, lookups of milliseconds and orders, has ended by then.
const REFUSAL_WAIT: TimeSpan = TimeSpan::from_millis(500);

/// What the requests of this gateway share.
#[derive(Debug)]
struct GatewayShared {
    places: GatewayPlaces,
    router: RequestRouter,
}

/// `GET` and `POST /v1/SERVICE/KEY`.
pub(crate) fn gateway_routes(
    context: Arc<NodeContext>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let router = RequestRouter::new(Arc::clone(&context));
    let limit = context.settings.gateway_requests as usize;
    let shared =
        Arc::new(GatewayShared { places: GatewayPlaces::new(limit), router });
    let leaving = Arc::clone(&context);
    let shared =
        warp::any().map(move || (Arc::clone(&context), Arc::clone(&shared)));
    let keyed = warp::path!("v1" / String / ..)
        .and(warp::path::tail())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(shared)
        .then(take_request)
        .map(move |response| end_connection(&leaving, response));
    let other = warp::any().map(no_route);
    keyed.or(other).unify().and_then(accept)
}

/// Gives the chain the error type that a listener expects.
async fn accept(response: WarpResponse) -> Result<WarpResponse, Rejection> {
    Ok(response)
}

/// Ends the connection with its answer when the VM is being stopped.
///
/// Closed later, while it is idle, it might take a caller's next request
/// with it; the caller could not tell whether its order ran.
fn end_connection(
    context: &NodeContext,
    mut response: WarpResponse,
) -> WarpResponse {
    if context.leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn no_route() -> WarpResponse {
    let title = "requests go to /v1/SERVICE/KEY";
    answer::not_run(NotRunReason::UnknownService, title, "", None)
}

async fn take_request<B: Buf>(
    service: String,
    key: warp::path::Tail,
    method: Method,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>>,
    (context, shared): (Arc<NodeContext>, Arc<GatewayShared>),
) -> WarpResponse {
    context.faults.wait().await;
    let guard = context.request();
    let settings = &context.settings;
    let default = TimeSpan::from_millis(settings.default_deadline_ms);
    let now = context.now();
    let resend = request::is_resend(&headers);
    let refuse = |reason, title: &str, name: &str| {
        refuse(&context, reason, title, name, resend)
    };
    let read = CallerRequest::read(
        now,
        &method,
        &service,
        key.as_str(),
        &headers,
        default,
    );
    let mut request = match read {
        Ok(request) => request,
        Err(RequestFault(title)) => {
            return refuse(NotRunReason::BadRequest, title, "");
        }
    };
    let name = request.name.to_string();
    let place = match shared.places.enter(&request.caller) {
        Ok(place) => place,
        Err(reason) => return refuse(reason, "", &name),
    };
    let limit = settings.body_bytes as usize;
    let left = request.deadline.since(now).to_std();
    let body = request::read_body(body, limit);
    request.body = match tokio::time::timeout(left, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(fault)) => {
            return refuse(NotRunReason::BadRequest, body_title(fault), &name);
        }
        Err(_elapsed) => {
            let reason = NotRunReason::DeadlinePassed;
            return refuse(reason, "the body came late", &name);
        }
    };
    let reply = shared.router.route(&request).await;
    answer::respond(reply, &name, &context.metrics, (guard, place))
}

const fn body_title(fault: BodyFault) -> &'static str {
    match fault {
        BodyFault::TooLarge => "the body is too large",
        BodyFault::BrokenOff => "the body broke off",
    }
}

/// Refuses a request that no server was asked for.
///
/// Of a resend that says nothing: the first try may have run. Told "not
/// run", its caller would order anew under another id and get two parcels.
fn refuse(
    context: &NodeContext,
    reason: NotRunReason,
    title: &str,
    name: &str,
    resend: bool,
) -> WarpResponse {
    let title = if title.is_empty() { reason.code() } else { title };
    let wait = match reason {
        NotRunReason::BadRequest => None,
        _ => Some(jittered(REFUSAL_WAIT)),
    };
    if resend {
        context.metrics.count_unknown(UnknownReason::ResendRefused);
        return answer::resend_refused(reason, title, name, wait);
    }
    context.metrics.count_not_run(reason);
    answer::not_run(reason, title, name, wait)
}
