//! Orders to backend servers, over HTTP.

use std::{sync::Arc, time::Duration};

use goldcrestramp_types::ServerName;
use goldcrestramp_wire::server::{GrantOrder, GrantReply};
use xtra::Address;

use crate::{
    context::NodeContext,
    control::{actor::ControlActor, messages::GrantNotice},
};

/// A server that has not replied for so long is taken as out of reach.
///
/// A third of the lease: three tries fit into what a grant lasts.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends an order and gives the reply, or its lack, to the actor.
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
    let request = http
        .post(format!("http://{address}/grant"))
        .timeout(REPLY_TIMEOUT)
        .json(order);
    context.metrics.count_control("grant");
    tokio::spawn(async move {
        let reply = if cut { None } else { reply(request).await };
        let notice = GrantNotice { server, sent, reply };
        // The actor is gone only when the daemon ends.
        drop(actor.send(notice).await);
    });
}

async fn reply(request: reqwest::RequestBuilder) -> Option<GrantReply> {
    let response = request.send().await.ok()?;
    response.error_for_status().ok()?.json().await.ok()
}
