//! `docs/CAPACITY.md` must match the records under `docs/capacity/`; any change of either alone is detected.

use burlhook_lab::capacity::compare::COMPARISON;
use burlhook_lab::capacity::page::{self, PageError, PAGE};
use burlhook_lab::capacity::record::{Slope, RECORDS};
use std::path::{Path, PathBuf};

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// A copy of the page and its records, with one artificial record added. Tests may change it; it is deleted
/// on drop.
struct PageCopy(PathBuf);

impl PageCopy {
    fn new(name: &str) -> PageCopy {
        let copy = std::env::temp_dir().join(format!("burlhook-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(copy.join(RECORDS)).expect("a folder");
        std::fs::copy(root().join(PAGE), copy.join(PAGE)).expect("the page");
        for slope in page::records(root()).expect("records").slopes.into_values() {
            slope.write(&copy).expect("a record");
        }
        if root().join(COMPARISON).exists() {
            std::fs::copy(root().join(COMPARISON), copy.join(COMPARISON)).expect("a record");
        }
        artificial_record().write(&copy).expect("a record");
        page::fit(&copy).expect("fitted");
        page::write(&copy).expect("written");
        PageCopy(copy)
    }

    /// Writes the artificial record with the values of its first figure multiplied by `times`.
    fn scale(&self, times: f64) {
        let mut slope = artificial_record();
        slope.figures[0].points.iter_mut().for_each(|point| point.values[0] *= times);
        slope.figures.iter_mut().for_each(|figure| figure.fit().expect("enough sizes for a fit"));
        slope.write(&self.0).expect("a record");
    }
}

/// An artificial record. A row of the page reads its first figure.
fn artificial_record() -> Slope {
    let text = include_str!("capacity_page.json");
    serde_json::from_str(text).expect("a record")
}

impl Drop for PageCopy {
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

/// Guards `page` and `page --check` against each other: a written page passes the check, and writing it again
/// changes nothing.
#[test]
fn a_written_page_passes_the_check() {
    let copy = PageCopy::new("written");
    let read = || std::fs::read_to_string(copy.0.join(PAGE)).expect("a page");
    let before = read();
    assert!(before.contains("18,100 machines"), "the artificial record is on the page");
    page::write(&copy.0).expect("written");
    assert_eq!(read(), before);
    assert_tables_match(&copy);
}

/// Checks that the tables match the records. Figures that are far off without a stated reason are ignored
/// here.
fn assert_tables_match(copy: &PageCopy) {
    match page::check(&copy.0) {
        Ok(()) | Err(PageError::NoReason { .. }) => {}
        Err(why) => panic!("{why}"),
    }
}

#[test]
fn a_changed_record_is_noticed() {
    let copy = PageCopy::new("changed");
    assert_tables_match(&copy);
    copy.scale(2.0);
    let why = page::check(&copy.0).expect_err("the page does not match the changed record");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
    copy.scale(1.0);
    assert_tables_match(&copy);
}

#[test]
fn a_value_changed_by_hand_is_noticed() {
    let copy = PageCopy::new("value");
    let mut slope = page::records(&copy.0)
        .expect("records")
        .slopes
        .remove("pick-machines")
        .expect("the artificial record");
    slope.figures[0].points[2].values[0] += 5.0;
    slope.write(&copy.0).expect("a record");
    let why = page::check(&copy.0).expect_err("the fit does not match the changed points");
    assert!(matches!(why, PageError::StaleFit { .. }), "{why}");
}

#[test]
fn a_record_that_is_gone_is_noticed() {
    let copy = PageCopy::new("gone");
    std::fs::remove_file(Slope::path(&copy.0, "pick-machines")).expect("removed");
    let why = page::check(&copy.0).expect_err("a row has no record");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
}

#[test]
fn a_table_edited_by_hand_is_noticed() {
    let copy = PageCopy::new("edited");
    let path = copy.0.join(PAGE);
    let text = std::fs::read_to_string(&path).expect("a page");
    std::fs::write(&path, text.replace("machines looked at for one pick", "machines looked at"))
        .expect("written");
    let why = page::check(&copy.0).expect_err("the page was edited");
    assert!(matches!(why, PageError::Differs { .. }), "{why}");
}

#[test]
fn a_page_without_markers_is_refused() {
    let copy = PageCopy::new("markers");
    std::fs::write(copy.0.join(PAGE), "# Capacity\n").expect("written");
    assert!(matches!(page::check(&copy.0), Err(PageError::Markers)));
}
