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
        admission::GatewayAdmission,
        request::{self, BodyFault, CallerRequest, RequestFault},
        response,
        retry::jittered,
        route::RequestRouter,
    },
};

/// When a caller may retry at a full gateway. Some of the requests in flight,
/// lookups of milliseconds and orders, have completed by then.
const REFUSAL_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(500);

/// State that the requests of this gateway share.
#[derive(Debug)]
struct GatewayShared {
    admission: GatewayAdmission,
    router: RequestRouter,
}

/// Serves `GET` and `POST /v1/SERVICE/KEY`.
pub(crate) fn gateway_routes(
    context: Arc<NodeContext>,
) -> impl Filter<Extract = (WarpResponse,), Error = Rejection> + Clone {
    let router = RequestRouter::new(Arc::clone(&context));
    let limit = context.settings.gateway_requests as usize;
    let shared = Arc::new(GatewayShared {
        admission: GatewayAdmission::new(limit),
        router,
    });
    let draining = Arc::clone(&context);
    let shared =
        warp::any().map(move || (Arc::clone(&context), Arc::clone(&shared)));
    let keyed = warp::path!("v1" / String / ..)
        .and(warp::path::tail())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .and(shared)
        .then(handle_request)
        .map(move |response| end_connection(&draining, response));
    let other = warp::any().map(no_route);
    keyed.or(other).unify().and_then(accept)
}

/// Gives the filter chain the error type that a listener expects.
async fn accept(response: WarpResponse) -> Result<WarpResponse, Rejection> {
    Ok(response)
}

/// Closes the connection with its response when the VM is draining.
///
/// If it were closed later while idle, a request that the caller just sent
/// could be lost, and the caller could not know whether its order ran.
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
    response::not_run(NotRunReason::UnknownService, title, "", None)
}

async fn handle_request<B: Buf>(
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
    let parsed = CallerRequest::read(
        now,
        &method,
        &service,
        key.as_str(),
        &headers,
        default,
    );
    let mut request = match parsed {
        Ok(request) => request,
        Err(RequestFault(title)) => {
            return refuse(NotRunReason::BadRequest, title, "");
        }
    };
    let name = request.name.to_string();
    let admitted = match shared.admission.enter(&request.caller) {
        Ok(admitted) => admitted,
        Err(reason) => return refuse(reason, "", &name),
    };
    let limit = settings.body_bytes as usize;
    let remaining = request.deadline.since(now).to_std();
    let body = request::read_body(body, limit);
    request.body = match tokio::time::timeout(remaining, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(fault)) => {
            return refuse(NotRunReason::BadRequest, body_title(fault), &name);
        }
        Err(_elapsed) => {
            let reason = NotRunReason::DeadlinePassed;
            return refuse(reason, "the body came late", &name);
        }
    };
    let outcome = shared.router.route(&request).await;
    response::respond(outcome, &name, &context.metrics, (guard, admitted))
}

const fn body_title(fault: BodyFault) -> &'static str {
    match fault {
        BodyFault::TooLarge => "the body is too large",
        BodyFault::Truncated => "the body broke off",
    }
}

/// Refuses a request that was sent to no server.
///
/// A refused resend stays *unknown*, as the first attempt may have run. After
/// "not run" its caller would order again under another id, and the order
/// would run twice.
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
        _ => Some(jittered(REFUSAL_RETRY_AFTER)),
    };
    if resend {
        context.metrics.count_unknown(UnknownReason::ResendRefused);
        return response::resend_refused(reason, title, name, wait);
    }
    context.metrics.count_not_run(reason);
    response::not_run(reason, title, name, wait)
}
