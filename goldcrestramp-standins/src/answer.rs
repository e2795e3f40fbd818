//! Response bodies in which a caller can verify every byte.
//!
//! A body is one line, `answer REQUEST KEY VALUE LENGTH`, followed by `LENGTH`
//! bytes that depend on the request's id and on their position. A byte of
//! another response, a missing byte or an extra one is detected.

use bytes::Bytes;

use crate::records::AnswerCheck;

/// The first word of every body.
const ANSWER_WORD: &str = "answer";
/// Bits of the seed; the pattern rotates it by the position modulo this.
const SEED_BITS: u32 = 64;
/// The offset basis and the prime of FNV-1a.
const HASH_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0100_0000_01b3;

/// The expected response body of one request.
#[derive(Clone, Debug)]
pub struct AnswerPattern {
    line: String,
    seed: u64,
    length: usize,
}

impl AnswerPattern {
    /// Creates the body that reports `value` and has `length` bytes after its
    /// line.
    #[must_use]
    pub fn new(request: &str, key: &str, value: u64, length: usize) -> Self {
        let line = format!("{ANSWER_WORD} {request} {key} {value} {length}\n");
        Self { line, seed: seed_of(request), length }
    }

    /// The size of the complete body, in bytes.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.line.len() + self.length
    }

    /// The bytes from `from` to `to` (exclusive); `to` is capped at the size.
    #[must_use]
    pub fn bytes(&self, from: usize, to: usize) -> Bytes {
        (from..to.min(self.size())).map(|at| self.byte(at)).collect()
    }

    /// The complete body.
    #[must_use]
    pub fn complete(&self) -> Bytes {
        self.bytes(0, self.size())
    }

    fn byte(&self, at: usize) -> u8 {
        match self.line.as_bytes().get(at) {
            Some(byte) => *byte,
            None => pattern_byte(self.seed, at - self.line.len()),
        }
    }
}

/// Checks a body that was delivered as complete.
#[must_use]
pub fn check_answer(body: &[u8], request: &str, key: &str) -> AnswerCheck {
    let start = format!("{ANSWER_WORD} {request} {key} ");
    let common = body.len().min(start.len());
    if body[..common] != start.as_bytes()[..common] {
        return AnswerCheck::Wrong;
    }
    let Some(end) = body.iter().position(|byte| *byte == b'\n') else {
        return AnswerCheck::Cut;
    };
    let Some((value, length)) = read_numbers(&body[start.len()..end]) else {
        return AnswerCheck::Wrong;
    };
    check_pattern(&body[end + 1..], seed_of(request), value, length)
}

/// Checks the bytes after the line.
fn check_pattern(
    rest: &[u8],
    seed: u64,
    value: u64,
    length: usize,
) -> AnswerCheck {
    let matches = |(at, byte): (usize, &u8)| *byte == pattern_byte(seed, at);
    if rest.len() > length || !rest.iter().enumerate().all(matches) {
        return AnswerCheck::Wrong;
    }
    if rest.len() < length {
        return AnswerCheck::Cut;
    }
    AnswerCheck::Whole { value }
}

/// Parses `VALUE LENGTH`.
fn read_numbers(text: &[u8]) -> Option<(u64, usize)> {
    let text = std::str::from_utf8(text).ok()?;
    let (value, length) = text.split_once(' ')?;
    Some((value.parse().ok()?, length.parse().ok()?))
}

/// Hashes a request's id with FNV-1a, so that the seeds of requests differ.
fn seed_of(request: &str) -> u64 {
    let mix = |seed: u64, byte: u8| {
        (seed ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    };
    request.bytes().fold(HASH_OFFSET, mix)
}

/// The byte at position `at` after the line.
fn pattern_byte(seed: u64, at: usize) -> u8 {
    let rotation = u32::try_from(at % SEED_BITS as usize).unwrap_or(0);
    let [first, second, ..] = at.to_le_bytes();
    let [low, ..] = seed.rotate_left(rotation).to_le_bytes();
    low ^ first ^ second
}
