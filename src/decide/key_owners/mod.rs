//! The planner of a fleet that owns an idempotency key. All requests under a key go to its owner, so that no two
//! planners have attempts of one key out together.
//!
//! - Every planner with the same list of planners names the same owner (rendezvous hashing).
//! - A key may contain a hash tag: what is between its first opening brace and the next closing one, if anything, as
//!   in `{night-7}/a`. Keys with the same tag have the same owner.
//! - A group is owned by the planner that owns its key and the keys of all its members; a group whose keys
//!   belong to several planners is placed by none (`a_group_has_one_owner_or_none`).

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The planners among which the keys are divided, by their URLs; none without a fleet.
pub struct KeyOwners {
    planners: Vec<String>,
}

/// The idempotency key of a group's member.
#[derive(Clone, Copy, Debug)]
pub struct MemberKey<'a> {
    /// The member's index in its group.
    pub member: usize,
    /// The name of the member's class.
    pub class: &'a str,
    /// The key.
    pub key: &'a str,
}

/// The key of a group's member belongs to another planner than the group's other keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeveralOwners {
    /// The member's index in its group.
    pub member: usize,
}

impl KeyOwners {
    /// The owners of keys among these planners.
    pub fn new(planners: &[String]) -> KeyOwners {
        let mut planners: Vec<String> =
            planners.iter().map(|p| p.trim_end_matches('/').to_string()).collect();
        planners.sort();
        planners.dedup();
        KeyOwners { planners }
    }

    /// The planner that owns the key of a job in a class; `None` without a fleet.
    pub fn of_job(&self, class: &str, key: &str) -> Option<&str> {
        match hash_tag(key) {
            Some(tag) => self.of_tag(tag),
            None => self.highest(&format!("{class}\n{key}")),
        }
    }

    /// The planner that owns a group; `None` without a fleet or without a key.
    ///
    /// # Errors
    /// The first member whose key belongs to another planner than the keys before it.
    pub fn of_group(
        &self,
        key: Option<&str>,
        members: &[MemberKey<'_>],
    ) -> Result<Option<&str>, SeveralOwners> {
        let mut owner = key.and_then(|key| self.of_group_key(key));
        for member in members {
            let of_member = self.of_job(member.class, member.key);
            if owner.is_some_and(|owner| Some(owner) != of_member) {
                return Err(SeveralOwners { member: member.member });
            }
            owner = of_member;
        }
        Ok(owner)
    }

    /// The key of a member that has none of its own. In a fleet it has the owner of the group's key.
    pub fn member_key(&self, group_key: &str, member: usize) -> String {
        if self.planners.is_empty() || hash_tag(group_key).is_some() {
            format!("{group_key}/{member}")
        } else {
            format!("{{{group_key}}}/{member}")
        }
    }

    /// The planner that owns the keys that members get by default.
    fn of_group_key(&self, key: &str) -> Option<&str> {
        let member_key = self.member_key(key, 0);
        self.of_tag(hash_tag(&member_key).unwrap_or(key))
    }

    fn of_tag(&self, tag: &str) -> Option<&str> {
        self.highest(&format!("{{{tag}}}"))
    }

    /// The planner with the highest hash. Adding or removing another one does not change it.
    fn highest(&self, text: &str) -> Option<&str> {
        self.planners.iter().map(String::as_str).max_by_key(|planner| hash(planner, text))
    }
}

/// The part of a key that alone decides its owner, if it has one.
fn hash_tag(key: &str) -> Option<&str> {
    let (_, after) = key.split_once('{')?;
    let (tag, _) = after.split_once('}')?;
    (!tag.is_empty()).then_some(tag)
}

/// A hash that is the same in every process.
fn hash(planner: &str, text: &str) -> u64 {
    let mut hash = SipHasher13::new();
    hash.write(format!("{planner}\n{text}").as_bytes());
    hash.finish()
}

#[cfg(test)]
mod tests;
