//! Encodes peer messages as datagrams, and decodes them.
//!
//! A datagram is `version:1 check:8 from:2 incarnation:8`, then messages, each `kind:1` and its fields. The
//! numbers after the colons are lengths in bytes; integers are big-endian. `incarnation` is the sender's
//! incarnation. The check is a keyed digest of all bytes after it. Its key is derived from the fleet's name,
//! planners, voters and terms, so that corrupt datagrams and those of another fleet or configuration are
//! detected. It guards against mistakes, not against attackers.

use crate::decide::budgets::{Ask, Grant, PeerMessage};
use crate::decide::fleet::{Claim, Incarnation, Member, Vote};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;
use thiserror::Error;
use winnow::binary::{be_u16, be_u32, be_u64, be_u8};
use winnow::combinator::{dispatch, empty, fail, repeat};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;

/// Maximum length of a datagram in bytes.
pub const MAX_BYTES: usize = 256;
/// The version of the protocol; datagrams of another version are dropped.
const VERSION: u8 = 1;
/// Bytes before the first message.
const HEADER_BYTES: usize = 19;
/// The second half of the check's key; the first half is the fleet's digest.
const CHECK_KEY: u64 = 0x6275_726c_686f_6f6b;

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
    #[error("the datagram has {0} bytes, which is too short or too long")]
    Length(usize),
    /// Of another version.
    #[error("protocol version {0} is not supported")]
    Version(u8),
    /// Of another fleet, with other planners or terms, or corrupt.
    #[error("the check does not match: the datagram is of another fleet, or corrupt")]
    Check,
    /// Its messages cannot be decoded, or do not end with the datagram.
    #[error("the messages cannot be decoded")]
    Messages,
}

/// A decoded datagram.
#[derive(Debug, PartialEq)]
pub struct Datagram {
    /// The sender.
    pub from: Member,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The messages, in their order.
    pub messages: Vec<PeerMessage>,
}

fn check(digest: u64, rest: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(digest, CHECK_KEY);
    hasher.write(rest);
    hasher.finish()
}

/// Encodes units and times of asks and grants in four bytes; a larger value is sent as the largest that fits.
fn saturated_u32(figure: u64) -> [u8; 4] {
    u32::try_from(figure).unwrap_or(u32::MAX).to_be_bytes()
}

fn encode(bytes: &mut Vec<u8>, message: &PeerMessage) {
    match message {
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
            bytes.extend(vote.incarnation.to_be_bytes());
            bytes.extend(vote.number.to_be_bytes());
            bytes.push(flags.iter().filter(|(is, _)| *is).map(|(_, bit)| bit).sum());
            bytes.extend(vote.free.unwrap_or_default().to_be_bytes());
        }
        PeerMessage::Ask(budget, ask) => {
            bytes.push(kind::ASK);
            bytes.extend(budget.to_be_bytes());
            bytes.extend(ask.number.to_be_bytes());
            for figure in [ask.wants, ask.holds, ask.total, ask.hold] {
                bytes.extend(saturated_u32(figure));
            }
        }
        PeerMessage::Grant(budget, grant) => {
            bytes.push(kind::GRANT);
            bytes.extend(budget.to_be_bytes());
            bytes.extend(grant.incarnation.to_be_bytes());
            bytes.extend(grant.number.to_be_bytes());
            for figure in [grant.units, grant.span, grant.total, grant.hold] {
                bytes.extend(saturated_u32(figure));
            }
        }
    }
}

/// Encodes messages as datagrams, in their order, as many to each as fit.
pub fn write(digest: u64, from: Member, incarnation: Incarnation, messages: &[PeerMessage]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut body: Vec<u8> = Vec::new();
    let mut finish = |body: &mut Vec<u8>| {
        if body.is_empty() {
            return;
        }
        let rest = [&from.to_be_bytes()[..], &incarnation.to_be_bytes(), body].concat();
        datagrams.push([&[VERSION][..], &check(digest, &rest).to_be_bytes(), &rest].concat());
        body.clear();
    };
    for message in messages {
        let before = body.len();
        encode(&mut body, message);
        if HEADER_BYTES + body.len() > MAX_BYTES {
            let last = body.split_off(before);
            finish(&mut body);
            body = last;
        }
    }
    finish(&mut body);
    datagrams
}

type Read<'a, T> = Result<T, ErrMode<ContextError>>;

fn u32_as_u64(input: &mut &[u8]) -> Read<'static, u64> {
    be_u32.map(u64::from).parse_next(input)
}

fn claim(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (slot, number, keep) = (be_u16, be_u64, be_u8).parse_next(input)?;
    Ok(PeerMessage::Claim(Claim { slot, number, keep: keep == 1 }))
}

fn vote(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (slot, incarnation, number, flags, free) =
        (be_u16, be_u64, be_u64, be_u8, be_u16).parse_next(input)?;
    let (given, wanted) = (flags & flag::GIVEN > 0, flags & flag::WANTED > 0);
    Ok(PeerMessage::Vote(Vote {
        slot,
        incarnation,
        number,
        given,
        wanted,
        free: (flags & flag::FREE > 0).then_some(free),
    }))
}

fn ask(incarnation: Incarnation) -> impl FnMut(&mut &[u8]) -> Read<'static, PeerMessage> {
    move |input: &mut &[u8]| {
        let (budget, number) = (be_u64, be_u32).parse_next(input)?;
        let (wants, holds, total, hold) =
            (u32_as_u64, u32_as_u64, u32_as_u64, u32_as_u64).parse_next(input)?;
        Ok(PeerMessage::Ask(budget, Ask { incarnation, number, wants, holds, total, hold }))
    }
}

fn grant(input: &mut &[u8]) -> Read<'static, PeerMessage> {
    let (budget, incarnation, number) = (be_u64, be_u64, be_u32).parse_next(input)?;
    let (units, span, total, hold) = (u32_as_u64, u32_as_u64, u32_as_u64, u32_as_u64).parse_next(input)?;
    Ok(PeerMessage::Grant(budget, Grant { incarnation, number, units, span, total, hold }))
}

/// Decodes a datagram.
///
/// # Errors
/// The reason to drop it.
pub fn read(digest: u64, bytes: &[u8]) -> Result<Datagram, Malformed> {
    if bytes.len() < HEADER_BYTES || bytes.len() > MAX_BYTES {
        return Err(Malformed::Length(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(Malformed::Version(bytes[0]));
    }
    let mut received = [0; 8];
    received.copy_from_slice(&bytes[1..9]);
    if u64::from_be_bytes(received) != check(digest, &bytes[9..]) {
        return Err(Malformed::Check);
    }
    let malformed = |_| Malformed::Messages;
    let mut input = &bytes[9..];
    let (from, incarnation): (Member, Incarnation) =
        (be_u16::<_, ErrMode<ContextError>>, be_u64).parse_next(&mut input).map_err(malformed)?;
    let message = dispatch! {be_u8;
        kind::CLAIM => claim,
        kind::VOTE => vote,
        kind::ASK => ask(incarnation),
        kind::GRANT => grant,
        _ => fail::<_, PeerMessage, _>,
    };
    let messages = (repeat(0.., message), empty)
        .map(|(messages, ())| messages)
        .parse(input)
        .map_err(|_| Malformed::Messages)?;
    Ok(Datagram { from, incarnation, messages })
}

#[cfg(test)]
mod tests;
