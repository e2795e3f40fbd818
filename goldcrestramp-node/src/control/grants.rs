//! Sends grant orders to backend servers over HTTP.

use std::{sync::Arc, time::Duration};

use goldcrestramp_types::ServerName;
use goldcrestramp_wire::server::{GrantOrder, GrantReply};
use reqwest::header::CONTENT_TYPE;
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{actor::ControlActor, messages::GrantNotice},
};

/// How long a server has to reply before it counts as unreachable.
///
/// It is a third of the lease, so that three attempts fit into the duration
/// of a grant.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends an order. The actor receives a [`GrantNotice`] with the reply, or
/// with none after a failure.
pub(crate) fn send_order(
    context: &Arc<NodeContext>,
    http: &reqwest::Client,
    actor: Address<ControlActor>,
    server: ServerName,
    address: &str,
    order: &GrantOrder,
) {
    let sent = context.now();
    let cut = context.faults.is_cut(address);
    let body = serde_json::to_vec(order).unwrap_or_default();
    context.metrics.count_control("grant", body.len());
    let request = http
        .post(format!("http://{address}/grant"))
        .timeout(REPLY_TIMEOUT)
        .header(CONTENT_TYPE, "application/json")
        .body(body);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let reply = if cut { None } else { reply(&context, request).await };
        let notice = GrantNotice { server, sent, reply };
        // The send fails only if the daemon is stopping.
        drop(actor.send(notice).await);
    });
}

async fn reply(
    context: &NodeContext,
    request: reqwest::RequestBuilder,
) -> Option<GrantReply> {
    let response = request.send().await.ok()?;
    let body = response.error_for_status().ok()?.bytes().await.ok()?;
    context.metrics.count_control("grant-reply", body.len());
    serde_json::from_slice(&body).ok()
}
