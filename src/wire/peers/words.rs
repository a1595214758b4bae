//! Words between planners as bytes, and back.
//!
//! `version:1 check:8 from:2 life:8`, then words, big-endian, each `kind:1` and its fields. The check is a keyed digest of
//! all that follows it; its key comes from the fleet's name, list and terms, so that a datagram of another fleet, of another
//! list, or one that was spoilt, is told from a good one. It keeps mistakes apart, and nobody out.

use crate::decide::budgets::{Ask, Grant, PeerMessage};
use crate::decide::fleet::{Claim, Incarnation, Member, Vote};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use thiserror::Error;
use winnow::binary::{be_u16, be_u32, be_u64, be_u8};
use winnow::combinator::{dispatch, empty, fail, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;

/// Bytes of a datagram at most.
pub const MOST_BYTES: usize = 256;
/// The version of these words; planners of another are not heard.
const VERSION: u8 = 1;
/// Bytes before the first word.
const HEAD: usize = 19;
/// The second half of the check's key.
const KEY: u64 = 0x6275_726c_686f_6f6b;

mod kind {
    pub const CLAIM: u8 = 1;
    pub const VOTE: u8 = 2;
    pub const ASK: u8 = 3;
    pub const GRANT: u8 = 4;
}

mod flag {
    pub const GIVEN: u8 = 1;
    pub const WANTED: u8 = 2;
    pub const FREE: u8 = 4;
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    /// Too short or too long.
    #[error("a datagram of {0} bytes")]
    Length(usize),
    /// Of another version.
    #[error("version {0}")]
    Version(u8),
    /// Of another fleet, list or terms, or spoilt.
    #[error("of another fleet, or spoilt")]
    Check,
    /// Its words do not fill it.
    #[error("words that cannot be read")]
    Words,
}

/// A datagram, read.
#[derive(Debug, PartialEq)]
pub struct Letter {
    pub from: Member,
    pub life: Incarnation,
    pub words: Vec<PeerMessage>,
}

fn check(digest: u64, rest: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(digest, KEY);
    hasher.write(rest);
    hasher.finish()
}

/// Units and spans go in four bytes: what is larger than they tell is no less than they do.
fn short(figure: u64) -> [u8; 4] {
    u32::try_from(figure).unwrap_or(u32::MAX).to_be_bytes()
}

fn put(bytes: &mut Vec<u8>, word: &PeerMessage) {
    match word {
        PeerMessage::Claim(claim) => {
            bytes.push(kind::CLAIM);
            bytes.extend(claim.slot.to_be_bytes());
            bytes.extend(claim.number.to_be_bytes());
            bytes.push(u8::from(claim.keep));
        }
        PeerMessage::Vote(vote) => {
            let flags =
                [(vote.given, flag::GIVEN), (vote.wanted, flag::WANTED), (vote.free.is_some(), flag::FREE)];
            bytes.push(kind::VOTE);
            bytes.extend(vote.slot.to_be_bytes());
            bytes.extend(vote.life.to_be_bytes());
            bytes.extend(vote.number.to_be_bytes());
            bytes.push(flags.iter().filter(|(is, _)| *is).map(|(_, bit)| bit).sum());
            bytes.extend(vote.free.unwrap_or_default().to_be_bytes());
        }
        PeerMessage::Ask(budget, ask) => {
            bytes.push(kind::ASK);
            bytes.extend(budget.to_be_bytes());
            bytes.extend(ask.number.to_be_bytes());
            for figure in [ask.wants, ask.holds, ask.total, ask.hold] {
                bytes.extend(short(figure));
            }
        }
        PeerMessage::Grant(budget, grant) => {
            bytes.push(kind::GRANT);
            bytes.extend(budget.to_be_bytes());
            bytes.extend(grant.life.to_be_bytes());
            bytes.extend(grant.number.to_be_bytes());
            for figure in [grant.units, grant.span, grant.total, grant.hold] {
                bytes.extend(short(figure));
            }
        }
    }
}

/// Words as datagrams, in their order, as many to each as fit.
pub fn write(digest: u64, from: Member, life: Incarnation, words: &[PeerMessage]) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    let mut body: Vec<u8> = Vec::new();
    let mut done = |body: &mut Vec<u8>| {
        if body.is_empty() {
            return;
        }
        let rest = [&from.to_be_bytes()[..], &life.to_be_bytes(), body].concat();
        all.push([&[VERSION][..], &check(digest, &rest).to_be_bytes(), &rest].concat());
        body.clear();
    };
    for word in words {
        let before = body.len();
        put(&mut body, word);
        if HEAD + body.len() > MOST_BYTES {
            let last = body.split_off(before);
            done(&mut body);
            body = last;
        }
    }
    done(&mut body);
    all
}

type Read<'a, T> = Result<T, ErrMode<ContextError>>;

fn wide(input: &mut &[u8]) -> Read<'static, u64> {
    be_u32.map(u64::from).parse_next(input)
}

fn claim(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (slot, number, keep) = (be_u16, be_u64, be_u8).parse_next(input)?;
    Ok(PeerMessage::Claim(Claim { slot, number, keep: keep == 1 }))
}

fn vote(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (slot, life, number, flags, free) = (be_u16, be_u64, be_u64, be_u8, be_u16).parse_next(input)?;
    let (given, wanted) = (flags & flag::GIVEN > 0, flags & flag::WANTED > 0);
    Ok(PeerMessage::Vote(Vote {
        slot,
        life,
        number,
        given,
        wanted,
        free: (flags & flag::FREE > 0).then_some(free),
    }))
}

fn ask(life: Incarnation) -> impl FnMut(&mut &[u8]) -> Read<'static, PeerMessage> {
    move |input: &mut &[u8]| {
        let (budget, number) = (be_u64, be_u32).parse_next(input)?;
        let (wants, holds, total, hold) = (wide, wide, wide, wide).parse_next(input)?;
        Ok(PeerMessage::Ask(budget, Ask { life, number, wants, holds, total, hold }))
    }
}

fn grant(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (budget, life, number) = (be_u64, be_u64, be_u32).parse_next(input)?;
    let (units, span, total, hold) = (wide, wide, wide, wide).parse_next(input)?;
    Ok(PeerMessage::Grant(budget, Grant { life, number, units, span, total, hold }))
}

/// Reads a datagram.
///
/// # Errors
/// Why it is to be dropped.
pub fn read(digest: u64, bytes: &[u8]) -> Result<Letter, Malformed> {
    if bytes.len() < HEAD || bytes.len() > MOST_BYTES {
        return Err(Malformed::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(Malformed::Version(bytes[0]));
    }
    let mut told = [0; 8];
    told.copy_from_slice(&bytes[1..9]);
    if u64::from_be_bytes(told) != check(digest, &bytes[9..]) {
        return Err(Malformed::Check);
    }
    let wrong = |_| Malformed::Words;
    let mut input = &bytes[9..];
    let (from, life): (Member, Incarnation) =
        (be_u16::<_, ErrMode<ContextError>>, be_u64).parse_next(&mut input).map_err(wrong)?;
    let word = dispatch! {be_u8;
        kind::CLAIM => claim,
        kind::VOTE => vote,
        kind::ASK => ask(life),
        kind::GRANT => grant,
        _ => fail::<_, PeerMessage, _>,
    };
    let words =
        (repeat(0.., word), empty).map(|(words, ())| words).parse(input).map_err(|_| Malformed::Words)?;
    Ok(Letter { from, life, words })
}

#[cfg(test)]
mod tests;
