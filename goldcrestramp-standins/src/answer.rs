//! Answers whose every byte a caller can check.
//!
//! An answer is one line, `answer REQUEST KEY VALUE LENGTH`, and then
//! `LENGTH` bytes that follow from the request's id and their position.
//! A byte of another request's answer, or one too few, shows.

use bytes::Bytes;

use crate::records::AnswerCheck;

/// The word that every answer starts with.
const ANSWER_WORD: &str = "answer";
/// Bits of the seed, over which the pattern turns.
const SEED_BITS: u32 = 64;
/// FNV-1a's starting value and prime.
const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0100_0000_01b3;

/// What a whole answer to one request looks like.
#[derive(Clone, Debug)]
pub struct AnswerPattern {
    line: String,
    seed: u64,
    length: usize,
}

impl AnswerPattern {
    /// The answer that tells `value` and has `length` bytes after its line.
    #[must_use]
    pub fn new(request: &str, key: &str, value: u64, length: usize) -> Self {
        let line = format!("{ANSWER_WORD} {request} {key} {value} {length}\n");
        Self { line, seed: seed_of(request), length }
    }

    /// The number of bytes of the whole answer.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.line.len() + self.length
    }

    /// The bytes from `from` up to `to`, both within the answer's size.
    #[must_use]
    pub fn bytes(&self, from: usize, to: usize) -> Bytes {
        (from..to.min(self.size())).map(|at| self.byte(at)).collect()
    }

    /// The whole answer.
    #[must_use]
    pub fn whole(&self) -> Bytes {
        self.bytes(0, self.size())
    }

    fn byte(&self, at: usize) -> u8 {
        match self.line.as_bytes().get(at) {
            Some(byte) => *byte,
            None => pattern_byte(self.seed, at - self.line.len()),
        }
    }
}

/// Looks at an answer that was presented as whole.
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

/// Looks at the bytes after the line.
fn check_pattern(
    rest: &[u8],
    seed: u64,
    value: u64,
    length: usize,
) -> AnswerCheck {
    let right = |(at, byte): (usize, &u8)| *byte == pattern_byte(seed, at);
    if rest.len() > length || !rest.iter().enumerate().all(right) {
        return AnswerCheck::Wrong;
    }
    if rest.len() < length {
        return AnswerCheck::Cut;
    }
    AnswerCheck::Whole { value }
}

/// Reads `VALUE LENGTH`.
fn read_numbers(text: &[u8]) -> Option<(u64, usize)> {
    let text = std::str::from_utf8(text).ok()?;
    let (value, length) = text.split_once(' ')?;
    Some((value.parse().ok()?, length.parse().ok()?))
}

/// A number that differs between requests (FNV-1a).
fn seed_of(request: &str) -> u64 {
    let mix = |seed: u64, byte: u8| {
        (seed ^ u64::from(byte)).wrapping_mul(HASH_PRIME)
    };
    request.bytes().fold(HASH_START, mix)
}

/// The byte at `at` after the line.
fn pattern_byte(seed: u64, at: usize) -> u8 {
    let turn = u32::try_from(at % SEED_BITS as usize).unwrap_or(0);
    let [first, second, ..] = at.to_le_bytes();
    let [low, ..] = seed.rotate_left(turn).to_le_bytes();
    low ^ first ^ second
}
