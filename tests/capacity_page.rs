//! `docs/CAPACITY.md` says what the records under `docs/capacity/` give, and a record that changes is noticed.

use burlhook_lab::capacity::compare::COMPARISON;
use burlhook_lab::capacity::page::{self, PageError, PAGE};
use burlhook_lab::capacity::record::{Slope, RECORDS};
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// A copy of the page, its records and one made up, which a test may change; it goes with the test.
struct Copied(PathBuf);

impl Copied {
    fn new(name: &str) -> Copied {
        let copy = std::env::temp_dir().join(format!("burlhook-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(copy.join(RECORDS)).expect("a folder");
        std::fs::copy(root().join(PAGE), copy.join(PAGE)).expect("the page");
        for slope in page::records(root()).expect("records").slopes.into_values() {
            slope.write(&copy).expect("a record");
        }
        if root().join(COMPARISON).exists() {
            std::fs::copy(root().join(COMPARISON), copy.join(COMPARISON)).expect("a record");
        }
        made_up().write(&copy).expect("a record");
        page::fit(&copy).expect("fitted");
        page::write(&copy).expect("written");
        Copied(copy)
    }

    /// Writes the record that was made up, with values so many times as large.
    fn scale(&self, times: f64) {
        let mut slope = made_up();
        slope.figures[0].points.iter_mut().for_each(|point| point.values[0] *= times);
        slope.figures.iter_mut().for_each(|figure| figure.fit().expect("sizes enough"));
        slope.write(&self.0).expect("a record");
    }
}

/// A record whose first figure a row of the page reads.
fn made_up() -> Slope {
    let text = include_str!("capacity_page.json");
    serde_json::from_str(text).expect("a record")
}

impl Drop for Copied {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_page_is_that_of_the_records() {
    if let Err(why) = page::check(root()) {
        panic!("{why}");
    }
}

/// Guards the commands against each other: what `page` writes, `--check` takes, and a second time nothing changes.
#[test]
fn what_is_written_is_taken() {
    let copy = Copied::new("written");
    let read = || std::fs::read_to_string(copy.0.join(PAGE)).expect("a page");
    let before = read();
    assert!(before.contains("18,100 machines"), "the record that was made up is on the page");
    page::write(&copy.0).expect("written");
    assert_eq!(read(), before);
    differs_nowhere(&copy);
}

/// What was far off without a reason is of no concern to these tests; that the tables are those of the records is.
fn differs_nowhere(copy: &Copied) {
    match page::check(&copy.0) {
        Ok(()) | Err(PageError::NoReason { .. }) => {}
        Err(why) => panic!("{why}"),
    }
}

#[test]
fn a_changed_record_is_noticed() {
    let copy = Copied::new("changed");
    differs_nowhere(&copy);
    copy.scale(2.0);
    let why = page::check(&copy.0).expect_err("the page is of another record");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
    copy.scale(1.0);
    differs_nowhere(&copy);
}

#[test]
fn a_value_changed_by_hand_is_noticed() {
    let copy = Copied::new("value");
    let mut slope = page::records(&copy.0).expect("records").slopes.remove("pick-machines").expect("made up");
    slope.figures[0].points[2].values[0] += 5.0;
    slope.write(&copy.0).expect("a record");
    let why = page::check(&copy.0).expect_err("the fit is of other points");
    assert!(matches!(why, PageError::StaleFit { .. }), "{why}");
}

#[test]
fn a_record_that_is_gone_is_noticed() {
    let copy = Copied::new("gone");
    std::fs::remove_file(Slope::path(&copy.0, "pick-machines")).expect("removed");
    let why = page::check(&copy.0).expect_err("a row has no record");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
}

#[test]
fn a_table_edited_by_hand_is_noticed() {
    let copy = Copied::new("edited");
    let path = copy.0.join(PAGE);
    let text = std::fs::read_to_string(&path).expect("a page");
    std::fs::write(&path, text.replace("machines looked at for one pick", "machines looked at"))
        .expect("written");
    let why = page::check(&copy.0).expect_err("the page was edited");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
}

#[test]
fn a_page_without_markers_is_refused() {
    let copy = Copied::new("markers");
    std::fs::write(copy.0.join(PAGE), "# Capacity\n").expect("written");
    assert!(matches!(page::check(&copy.0), Err(PageError::Markers)));
}
