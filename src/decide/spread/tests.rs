use super::*;

/// Planners must not act in step: the first draws of a few hundred planners are spread over the whole span.
#[test]
fn planners_draw_apart() {
    let mut tenths = [0; 10];
    for seed in 0..350 {
        tenths[(Draws::new(seed, 7).draw() * 10.0) as usize] += 1;
    }
    assert!(tenths.iter().all(|&n| (15..=60).contains(&n)), "{tenths:?}");
    let span = Duration::from_secs(1);
    let mut draws = Draws::new(1, 1);
    assert!((0..100).all(|_| (span / 2..=span).contains(&draws.half(span)) && draws.part(span) <= span));
}
