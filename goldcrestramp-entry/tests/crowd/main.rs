//! Crowds of callers that leave their requests unfinished do not use up the
//! memory or the descriptors of a VM.
//!
//! The checks depend on no machine's speed: the daemon lives, its memory and
//! descriptors stay below its limits, and ordinary requests are served while
//! the crowd is connected and after it. The tests run one at a time.

mod backend;
mod caller;
#[path = "../daemon/cluster.rs"]
#[allow(dead_code, reason = "shared with the tests of single faults")]
mod cluster;
#[path = "../daemon/link.rs"]
#[allow(dead_code, reason = "shared with the tests of single faults")]
mod link;
#[path = "../daemon/node.rs"]
#[allow(dead_code, reason = "shared with the tests of single faults")]
mod node;
#[path = "../daemon/port.rs"]
mod port;
#[path = "../daemon/server.rs"]
#[allow(dead_code, reason = "shared with the tests of single faults")]
mod server;
#[path = "../daemon/store.rs"]
#[allow(dead_code, reason = "shared with the tests of single faults")]
mod store;
mod vm;

use crate::{
    caller::{Crowd, UnfinishedRequest},
    vm::{CrowdedVm, DEPLOYED_MEMORY, SMALL_MEMORY, SMALL_VM, VmLimits},
};

/// The largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A body that is buffered if its length is stated.
const BUFFERED_BYTES: usize = 250_000;

/// Lets a crowd press on a VM, and checks the VM.
async fn survives(request: UnfinishedRequest, callers: usize) {
    survives_with(SMALL_VM, request, callers).await;
}

/// The same for a VM with these limits.
async fn survives_with(
    limits: VmLimits,
    request: UnfinishedRequest,
    callers: usize,
) {
    let _alone = vm::run_alone().await;
    let mut vm = CrowdedVm::start_with(limits).await;

    let crowd = Crowd::connect(vm.address(), request, callers);
    crowd.wait_read().await;
    vm.wait_served().await;
    drop(crowd);
    vm.wait_served().await;

    vm.assert_within_limits();
}

/// Guards against bodies with a length that fill the memory.
#[tokio::test]
async fn whole_bodies_leave_memory_free() {
    let bytes = BUFFERED_BYTES;
    survives(UnfinishedRequest::Stated { bytes, piece: bytes }, 400).await;
}

/// Guards against buffers that grow with each piece of a body.
#[tokio::test]
async fn bodies_in_pieces_leave_memory_free() {
    let bytes = BUFFERED_BYTES;
    survives(UnfinishedRequest::Stated { bytes, piece: 1_000 }, 400).await;
}

/// Guards against streamed bodies that fill the buffers of many connections.
#[tokio::test]
async fn streamed_bodies_leave_memory_free() {
    let bytes = MAX_BODY_BYTES;
    survives(UnfinishedRequest::Stated { bytes, piece: bytes }, 400).await;
}

/// Guards against chunked bodies that are buffered up to the largest size.
#[tokio::test]
async fn large_chunked_bodies_leave_memory_free() {
    let bytes = MAX_BODY_BYTES;
    survives(UnfinishedRequest::Chunked { bytes, chunk: 64_000 }, 40).await;
}

/// Guards against many chunked bodies, each of which may be buffered.
#[tokio::test]
async fn many_chunked_bodies_leave_memory_free() {
    let bytes = BUFFERED_BYTES;
    survives(UnfinishedRequest::Chunked { bytes, chunk: 64_000 }, 400).await;
}

/// Guards against tiny chunks that each take up more than their bytes.
#[tokio::test]
async fn tiny_chunks_leave_memory_free() {
    let bytes = 100_000;
    survives(UnfinishedRequest::Chunked { bytes, chunk: 1 }, 80).await;
}

/// Guards against heads that are held until they are complete.
#[tokio::test]
async fn unfinished_heads_leave_memory_free() {
    survives(UnfinishedRequest::Head { bytes: 16_000 }, 1_200).await;
}

/// Guards against connections that take all descriptors, so that no server
/// and no further caller can be connected.
#[tokio::test]
async fn idle_connections_leave_descriptors_free() {
    survives(UnfinishedRequest::None, SMALL_VM.descriptors + 400).await;
}

/// Guards against short bodies that are not counted, as each is small.
#[tokio::test]
async fn short_bodies_leave_descriptors_free() {
    let (bytes, piece) = (1_000, 100);
    let callers = SMALL_VM.descriptors + 400;
    survives(UnfinishedRequest::Stated { bytes, piece }, callers).await;
}

/// Guards against heads that are held beside unfinished bodies.
#[tokio::test]
async fn large_heads_leave_memory_free() {
    survives(UnfinishedRequest::LargeHead { bytes: 15_000 }, 1_200).await;
}

/// Guards against heads that no limit of descriptors bounds.
#[tokio::test]
async fn large_heads_of_many_connections_leave_memory_free() {
    let request = UnfinishedRequest::LargeHead { bytes: 15_000 };
    survives_with(SMALL_MEMORY, request, 1_200).await;
}

/// Guards against responses that are buffered for callers that do not read
/// them.
#[tokio::test]
async fn unread_responses_leave_memory_free() {
    let line = "GET /list/large";
    survives(UnfinishedRequest::Unread { line, requests: 1 }, 400).await;
}

/// Guards against small responses that are held for requests which wait behind
/// others on their connection.
#[tokio::test]
async fn unread_pipelined_responses_leave_memory_free() {
    let line = "GET /list/small";
    let request = UnfinishedRequest::Unread { line, requests: 9 };
    survives_with(DEPLOYED_MEMORY, request, 2_400).await;
}

/// Guards against complete bodies that are held for servers that do not read
/// them.
#[tokio::test]
async fn bodies_that_no_server_reads_leave_memory_free() {
    let _alone = vm::run_alone().await;
    let mut vm = CrowdedVm::start().await;
    vm.set_reading(false);
    let request = UnfinishedRequest::Complete { bytes: BUFFERED_BYTES };

    let crowd = Crowd::connect(vm.address(), request, 400);
    crowd.wait_read().await;
    vm.wait_looked_up().await;
    drop(crowd);
    vm.set_reading(true);
    vm.wait_served().await;

    vm.assert_within_limits();
}

/// Guards against bodies that fill the memory of the VM to which another one
/// passes them.
#[tokio::test]
async fn passed_bodies_leave_memory_free() {
    let _alone = vm::run_alone().await;
    let mut vm = CrowdedVm::start().await;
    let mut cut = vm.add_linked().await;
    cut.cut_links().await;
    let bytes = MAX_BODY_BYTES;
    let request = UnfinishedRequest::Chunked { bytes, chunk: 64_000 };

    let crowd = Crowd::connect(cut.address(), request, 60);
    crowd.wait_read().await;
    vm.wait_served().await;
    drop(crowd);
    vm.wait_served().await;
    cut.wait_served().await;

    vm.assert_within_limits();
    cut.assert_within_limits();
}

/// Guards against limits that refuse a body which the configuration allows.
#[tokio::test]
async fn bodies_of_the_largest_size_are_served_in_calm() {
    let _alone = vm::run_alone().await;
    let mut vm = CrowdedVm::start().await;

    let stated = vm.order(MAX_BODY_BYTES, None).await;
    let chunked = vm.order(MAX_BODY_BYTES, Some(100_000)).await;
    let short_chunks = vm.order(100_000, Some(10)).await;
    let too_large = vm.order(MAX_BODY_BYTES + 1, Some(100_000)).await;

    assert_eq!(stated, (200, MAX_BODY_BYTES.to_string()));
    assert_eq!(chunked, (200, MAX_BODY_BYTES.to_string()));
    assert_eq!(short_chunks, (200, "100000".to_owned()));
    assert_eq!(too_large, (413, "body-too-large".to_owned()));
    vm.assert_within_limits();
}
