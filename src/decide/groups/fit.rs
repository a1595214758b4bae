//! Whether a whole group fits into what is free, before any of it is sent.

use crate::placer::{Room, Seconds, Space};

/// A member's wishes.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// What it asks for.
    pub room: Room,
    /// The only kind of machine that may hold it.
    pub kind: Option<usize>,
}

/// Why a group does not fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lacks {
    /// It would not fit into the whole fleet, were that empty: no coming back helps.
    Ever,
    /// It asks for more of the fleet than one group may.
    Share,
    /// There is no room for all of it now.
    Now,
}

/// Seconds. When to come back at the least, and at the most, where there is no room.
const AWAY_S: (Seconds, Seconds) = (0.25, 30.0);

/// Fits all needs into the spaces, the largest first, each where least would be left over: a group that is packed
/// tightly leaves more whole room to the next one. A heuristic: it may miss a fit that only a search would find, and
/// never claims one that is none. `kept` is room that other groups were promised.
pub fn fits(needs: &[Need], spaces: &[Space], kept: &[Need]) -> bool {
    let mut left: Vec<Space> = spaces.iter().filter(|s| s.offers > 0).copied().collect();
    // Those that came first keep what they were promised.
    pack(kept, &mut left);
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

/// Looks whether a group may be let in. `share` is the most of the whole fleet that one group may ask for, and `beyond`
/// what of the fleet is not among the spaces.
///
/// # Errors
/// What it lacks.
pub fn admit(needs: &[Need], spaces: &[Space], kept: &[Need], share: f64, beyond: Room) -> Result<(), Lacks> {
    let empty: Vec<Space> =
        spaces.iter().map(|s| Space { left: s.limit, offers: usize::MAX, ..*s }).collect();
    if !fits(needs, &empty, &[]) {
        return Err(Lacks::Ever);
    }
    let sum = |rooms: &mut dyn Iterator<Item = Room>| rooms.fold(Room::default(), |all, room| all + room);
    let (asked, whole) = (sum(&mut needs.iter().map(|n| n.room)), sum(&mut spaces.iter().map(|s| s.limit)));
    if asked.share_of(whole + beyond) > share {
        return Err(Lacks::Share);
    }
    if fits(needs, spaces, kept) {
        Ok(())
    } else {
        Err(Lacks::Now)
    }
}

/// Seconds until there may be room: what is short, over the pace at which tasks end and set room free.
pub fn away(needs: &[Need], spaces: &[Space], ends_per_s: f64, mean_room: Room) -> Seconds {
    let sum = |rooms: &mut dyn Iterator<Item = Room>| rooms.fold(Room::default(), |all, room| all + room);
    let (asked, left) = (sum(&mut needs.iter().map(|n| n.room)), sum(&mut spaces.iter().map(|s| s.left)));
    let short = |asked: f64, left: f64, mean: f64| (asked - left).max(asked * 0.1) / mean.max(1e-6);
    let tasks = short(asked.cores, left.cores, mean_room.cores).max(short(
        asked.memory,
        left.memory,
        mean_room.memory,
    ));
    (tasks / ends_per_s.max(1e-3)).clamp(AWAY_S.0, AWAY_S.1)
}
