//! Checks whether a whole group fits into the free room, before any member is sent.

use crate::placer::{Room, Seconds, Space};

/// The requirements of a member.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The room that it requests.
    pub room: Room,
    /// The only kind of machine that may hold it.
    pub kind: Option<usize>,
}

/// Why a group does not fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DoesNotFit {
    /// It would not fit even if all machines were empty: a retry cannot help.
    Ever,
    /// It requests a larger share of the machines' room than one group may.
    Share,
    /// There is no room for the whole group now.
    Now,
}

/// Seconds. The shortest and the longest retry time if there is no room.
const RETRY_AFTER_S: (Seconds, Seconds) = (0.25, 30.0);

/// Checks whether all needs fit into the spaces (best fit, decreasing): the largest need first, each where
/// the least room is left over, as tight packing leaves larger gaps to the next group. This is a heuristic:
/// it may miss a fit that only a search would find, and never reports a fit that does not exist. `reserved`
/// are needs for which room is reserved.
pub fn fits(needs: &[Need], spaces: &[Space], reserved: &[Need]) -> bool {
    let mut left: Vec<Space> = spaces.iter().filter(|s| s.offers > 0).copied().collect();
    // Reservations of earlier groups come first.
    pack(reserved, &mut left);
    pack(needs, &mut left)
}

fn pack(needs: &[Need], left: &mut [Space]) -> bool {
    let mut order: Vec<&Need> = needs.iter().collect();
    let size = |n: &Need| n.room.cores.max(n.room.memory);
    order.sort_by(|a, b| size(b).total_cmp(&size(a)));
    let mut all = true;
    for need in order {
        let takes = |s: &&mut Space| {
            s.offers > 0 && need.room.within(s.left) && (need.kind.is_none() || need.kind == s.kind)
        };
        let over = |s: &Space| (s.left - need.room).share_of(s.size);
        let best = left.iter_mut().filter(takes).min_by(|a, b| over(a).total_cmp(&over(b)));
        match best {
            Some(space) => {
                space.left = space.left - need.room;
                space.offers -= 1;
            }
            None => all = false,
        }
    }
    all
}

/// Checks whether a group may be admitted. `share` is the largest share of all machines' room that one group
/// may request.
///
/// # Errors
/// Why it does not fit.
pub fn admit(needs: &[Need], spaces: &[Space], reserved: &[Need], share: f64) -> Result<(), DoesNotFit> {
    let empty: Vec<Space> =
        spaces.iter().map(|s| Space { left: s.limit, offers: usize::MAX, ..*s }).collect();
    if !fits(needs, &empty, &[]) {
        return Err(DoesNotFit::Ever);
    }
    let sum = |rooms: &mut dyn Iterator<Item = Room>| rooms.fold(Room::default(), |all, room| all + room);
    let (requested, total) =
        (sum(&mut needs.iter().map(|n| n.room)), sum(&mut spaces.iter().map(|s| s.limit)));
    if requested.share_of(total) > share {
        return Err(DoesNotFit::Share);
    }
    if fits(needs, spaces, reserved) {
        Ok(())
    } else {
        Err(DoesNotFit::Now)
    }
}

/// Estimates the seconds until there may be room: the shortfall, divided by the rate at which ending tasks
/// free room.
pub fn retry_after(needs: &[Need], spaces: &[Space], ends_per_s: f64, mean_room: Room) -> Seconds {
    let sum = |rooms: &mut dyn Iterator<Item = Room>| rooms.fold(Room::default(), |all, room| all + room);
    let (requested, left) = (sum(&mut needs.iter().map(|n| n.room)), sum(&mut spaces.iter().map(|s| s.left)));
    let short =
        |requested: f64, left: f64, mean: f64| (requested - left).max(requested * 0.1) / mean.max(1e-6);
    let tasks = short(requested.cores, left.cores, mean_room.cores).max(short(
        requested.memory,
        left.memory,
        mean_room.memory,
    ));
    (tasks / ends_per_s.max(1e-3)).clamp(RETRY_AFTER_S.0, RETRY_AFTER_S.1)
}
