use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Concurrency counts spans that overlap, but neither adjoining nor empty ones.
#[test]
fn too_many_at_once_are_seen() {
    let spans = vec![(ms(0), ms(10)), (ms(10), ms(20)), (ms(5), ms(15)), (ms(7), ms(7))];
    assert_eq!(most_at_once(&spans), (2, ms(5)));
    assert!((mean_at_once(&spans, (ms(0), ms(20))) - 1.5).abs() < 1e-9);
}

/// The rate check agrees with a naive count over all windows, and accepts exactly the allowed rate.
#[test]
fn too_many_in_a_window_are_seen() {
    let at = |times: &[u64]| -> Spans { times.iter().map(|&t| (ms(t), ms(t + 3))).collect() };
    // Two at the same time and one each 100 ms: 10 per second with a burst of 2.
    let kept = at(&[0, 0, 100, 200, 300, 900, 900, 1000]);
    assert!(worst_window(&kept, 10.0, 2.0) <= 0.0, "{}", worst_window(&kept, 10.0, 2.0));
    let broken = at(&[0, 0, 100, 200, 300, 900, 900, 950]);
    assert!(worst_window(&broken, 10.0, 2.0) > 0.0);
    let naive = |spans: &Spans, per_s: f64, burst: f64| {
        let mut worst = f64::NEG_INFINITY;
        for (from, _) in spans {
            for (_, until) in spans.iter().filter(|(_, until)| until >= from) {
                let inside = spans.iter().filter(|(a, b)| a >= from && b <= until).count() as f64;
                worst = worst.max(inside - per_s * (*until - *from).as_secs_f64() - burst);
            }
        }
        worst
    };
    for seed in 0..40u64 {
        let times: Vec<u64> = (0..30).map(|n| (n * n * 7 + seed * 13 * n) % 1900).collect();
        let spans = at(&times);
        let (a, b) = (worst_window(&spans, 9.0, 3.0), naive(&spans, 9.0, 3.0));
        assert!((a - b).abs() < 1e-6, "{a} for {b}");
    }
}
