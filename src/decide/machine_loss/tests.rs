use super::*;
use FormerConnection::{NotReset, Reset};
use LossNotice::{Everyone, Nobody, PlatformClients};

/// Guards clients against a loss that is told too early or too late: a machine that drains keeps its tasks, one in service
/// may be short of connections, and an end that nobody reports is told in time, also where the next dial comes late.
#[test]
fn a_refusal_is_told_by_what_it_may_mean() {
    let cases = [
        (Standing::Draining, 0.0, NotReset, 0.0, 0.0, 1.0, Nobody),
        (Standing::Draining, 2.99, NotReset, 6.49, 6.49, 1.0, Nobody),
        (Standing::Draining, 3.0, NotReset, 3.0, 3.0, 1.0, PlatformClients),
        (Standing::Draining, 0.0, Reset, 0.0, 0.0, 1.0, PlatformClients),
        (Standing::Draining, 3.0, Reset, 6.49, 6.49, 1.0, PlatformClients),
        (Standing::Draining, 0.0, NotReset, 6.5, 0.0, 1.0, Everyone),
        (Standing::Draining, 0.0, NotReset, 4.5, 0.0, 3.0, Everyone),
        (Standing::Ready, 0.0, NotReset, 0.0, 0.0, 1.0, PlatformClients),
        (Standing::Ready, 0.0, NotReset, 60.0, 6.49, 1.0, PlatformClients),
        (Standing::Ready, 0.0, NotReset, 60.0, 6.5, 1.0, Everyone),
        (Standing::Ready, 0.0, NotReset, 60.0, 4.49, 3.0, PlatformClients),
        (Standing::Ready, 0.0, NotReset, 60.0, 4.5, 3.0, Everyone),
        (Standing::Ready, 0.0, Reset, 0.0, 0.0, 1.0, Everyone),
    ];
    for (standing, refused_s, former_connection, unreported_s, silent_s, redial_s, notice) in cases {
        let dial = RefusedDial { former_connection, unreported_s, silent_s, redial_s };
        assert_eq!(
            notice_after_refusal(standing, refused_s, dial),
            notice,
            "{standing:?}, {refused_s} s, {dial:?}"
        );
    }
}
