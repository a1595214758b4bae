use super::Usage;

#[test]
fn a_process_that_works_has_used_time_and_memory() {
    let before = Usage::of(std::process::id()).expect("this process");
    let mut sum = 0u64;
    while Usage::of(std::process::id()).expect("this process").processor <= before.processor {
        sum = std::hint::black_box((0..100_000u64).fold(sum, u64::wrapping_add));
    }
    let after = Usage::of(std::process::id()).expect("this process");
    assert!(after.resident_kib > 0 && after.peak_kib >= after.resident_kib);
}

#[test]
fn a_process_that_is_gone_has_no_usage() {
    let mut child = std::process::Command::new("true").spawn().expect("a process");
    child.wait().expect("it ends");
    assert!(Usage::of(child.id()).is_err());
}
