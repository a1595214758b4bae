//! Generates operators' files of any size.

use std::fmt::Write;

/// The service that a route matches, as the platform's front end spells it.
pub fn service(route: usize) -> String {
    format!("{:016x}", 0x1000 + route)
}

/// A file with this many routes, one for each service, each with its own rate limit and in-flight limit.
pub fn routes(count: usize) -> String {
    let mut text = String::from("{ limits: { default: { totalMs: 4000 }, routes: [\n");
    for route in 0..count {
        let service = service(route);
        let line = format!(
            "  {{ name: \"team-{route}\", match: {{ service: \"{service}\" }}, inFlight: 200, ratePerS: 50, burst: 100 }},"
        );
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{line}");
    }
    text + "] } }\n"
}

/// A file that allows groups of this many members.
pub fn groups(members: usize) -> String {
    format!("{{ groups: {{ default: {{ maxMembers: {members}, share: 1 }} }} }}\n")
}

/// The file of planner `own` of a fleet, of which the first `voters` vote, with one in-flight budget for the
/// whole fleet.
pub fn fleet(own: usize, planners: usize, voters: usize, in_flight: usize) -> String {
    let port = |planner: usize| 10_000 + planner;
    let one = |planner: usize| format!("{{name: \"p{planner}\", address: \"127.0.0.1:{}\"}}", port(planner));
    let all: Vec<String> = (0..planners).map(one).collect();
    let voters: Vec<String> = (0..voters).map(|voter| format!("\"p{voter}\"")).collect();
    format!(
        "{{ fleet: {{ name: \"scale\", own: \"p{own}\", listen: \"127.0.0.1:{}\", planners: [{}], voters: [{}], \
         leaseMs: 3000 }}, limits: {{ default: {{ totalMs: 1500, inFlight: {in_flight}, scope: \"fleet\" }} }} }}\n",
        port(own),
        all.join(", "),
        voters.join(", ")
    )
}
