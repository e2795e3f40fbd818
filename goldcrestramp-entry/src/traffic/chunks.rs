//! Bodies that are buffered in chunks of one size.
//!
//! Buffers of one size leave no gaps in the heap that none of them fits into.
//! Each is released as soon as it is sent.

use std::{
    collections::VecDeque,
    convert::Infallible,
    mem,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use goldcrestramp_decisions::SMALL_BODY_BYTES;
use hyper::body::{Body, Frame, SizeHint};

use crate::traffic::memory::{HeldCharge, MemoryAccount};

/// The size of a full chunk, which is also the most that is handed to the HTTP
/// library at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The least that a chunk grows by.
const MIN_CHUNK_BYTES: usize = 64;

/// A body in chunks that are charged until they are sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkList(VecDeque<Bytes>);

impl ChunkList {
    /// The bytes that are left.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.0.iter().map(|chunk| chunk.len() as u64).sum()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.0.iter().map(|chunk| &**chunk)
    }

    pub(super) fn push(&mut self, chunk: Bytes) {
        self.0.push_back(chunk);
    }

    /// Takes the next bytes for the HTTP library.
    pub(super) fn next_chunk(&mut self) -> Option<Bytes> {
        let mut chunk = self.0.pop_front()?;
        if chunk.len() > MAX_CHUNK_BYTES {
            self.0.push_front(chunk.split_off(MAX_CHUNK_BYTES));
        }
        Some(chunk)
    }

    /// The only chunk of a short body; otherwise the list.
    pub(super) fn into_single(mut self) -> Result<Bytes, Self> {
        if self.0.len() > 1 {
            return Err(self);
        }
        Ok(self.0.pop_front().unwrap_or_default())
    }
}

impl Body for ChunkList {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.get_mut().next_chunk();
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.total_bytes())
    }
}

/// Buffers a body in chunks. What a chunk can hold is charged when it is
/// allocated, however little of it is used.
#[derive(Debug)]
pub(super) struct ChunkWriter {
    chunks: ChunkList,
    chunk: Vec<u8>,
    charge: HeldCharge,
    len: usize,
    /// The size of the body, as far as it is known.
    expected: usize,
}

impl ChunkWriter {
    /// Begins a body of this size, as far as it is known.
    pub(super) fn open(account: &MemoryAccount, expected: usize) -> Self {
        let (chunks, chunk) = (ChunkList::default(), Vec::new());
        let charge = account.charge();
        Self { chunks, chunk, charge, len: 0, expected }
    }

    pub(super) const fn len(&self) -> usize {
        self.len
    }

    /// Adds data of a response. Returns whether the response may be buffered
    /// further; small ones always may.
    pub(super) fn push_response(&mut self, data: &[u8]) -> bool {
        let mut may_go_on = true;
        let is_small = (self.len + data.len()) as u64 <= SMALL_BODY_BYTES;
        self.append(data, |charge, bytes| {
            if is_small || !charge.try_hold_response(bytes) {
                charge.hold(bytes);
                may_go_on &= is_small;
            }
            true
        });
        may_go_on
    }

    /// Adds data of a request, if there is room for it.
    pub(super) fn push_request(&mut self, data: &[u8]) -> bool {
        let total = self.expected.max(self.len + data.len());
        self.append(data, |charge, bytes| {
            charge.try_hold_request(bytes, total)
        })
    }

    /// Adds data as long as `hold` charges what the chunks allocate.
    fn append(
        &mut self,
        mut data: &[u8],
        mut hold: impl FnMut(&mut HeldCharge, usize) -> bool,
    ) -> bool {
        while !data.is_empty() {
            let allocated = self.chunk.capacity();
            if self.chunk.len() == allocated {
                if allocated >= MAX_CHUNK_BYTES {
                    self.finish_chunk();
                    continue;
                }
                let capacity = self.next_capacity(data.len());
                if !hold(&mut self.charge, capacity - allocated) {
                    return false;
                }
                self.chunk.reserve_exact(capacity - self.chunk.len());
            }
            let space = self.chunk.capacity() - self.chunk.len();
            let (part, rest) = data.split_at(space.min(data.len()));
            self.chunk.extend_from_slice(part);
            self.len += part.len();
            data = rest;
        }
        true
    }

    /// What the chunk is to hold next: twice as much, or what has arrived. A
    /// stated length is no sign that the bytes will come.
    fn next_capacity(&self, arrived: usize) -> usize {
        let needed = self.chunk.len() + arrived.max(MIN_CHUNK_BYTES);
        needed.max(2 * self.chunk.capacity()).min(MAX_CHUNK_BYTES)
    }

    fn finish_chunk(&mut self) {
        let mut bytes = mem::take(&mut self.chunk);
        let next = self.charge.split(0);
        // What the chunk does not use is no longer charged.
        let mut charge = mem::replace(&mut self.charge, next);
        bytes.shrink_to_fit();
        let used = charge.split(bytes.len() as u64);
        self.chunks.push(used.attach(bytes));
    }

    pub(super) fn finish(mut self) -> ChunkList {
        if !self.chunk.is_empty() {
            self.finish_chunk();
        }
        self.chunks
    }
}
