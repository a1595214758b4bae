//! Formats numbers and table lines for the page.

use crate::capacity::record::Estimate;

/// The number of significant digits shown.
const DIGITS: i32 = 3;

/// A share below this is a rounding error and is shown as zero.
const ROUNDING: f64 = 1e-9;

/// Formats a number with [`DIGITS`] significant digits, and with thousands separators from 1,000 on.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return "none".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let unit = 10f64.powi(magnitude - DIGITS + 1);
    let rounded = (value / unit).round() * unit;
    if rounded.abs() >= 1_000.0 {
        return with_commas(rounded);
    }
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    let text = format!("{rounded:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

/// Formats a size or a bound: an integer with all its digits, any other value like [`number`].
pub fn all_digits(value: f64) -> String {
    match value.is_finite() && value.fract() == 0.0 {
        true => with_commas(value),
        false => number(value),
    }
}

fn with_commas(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at) % 3 == 0 {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}

/// Formats a value with its interval.
pub fn interval(estimate: Estimate) -> String {
    let Estimate { value, low, high } = estimate;
    match low == high {
        true => number(value),
        false => format!("{} ({} to {})", number(value), number(low), number(high)),
    }
}

/// Formats a share as a percentage; a share that is only a rounding error is shown as 0%.
pub fn percent(share: f64) -> String {
    if share.abs() < ROUNDING {
        return "0%".into();
    }
    format!("{}%", number(share * 100.0))
}

/// Formats a line of a table.
pub fn line(cells: &[String]) -> String {
    format!("| {} |\n", cells.join(" | "))
}

/// Formats the header of a table and the rule below it.
pub fn head(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|name| name.to_string()).collect();
    let rule: Vec<String> = names.iter().map(|_| "---".to_string()).collect();
    line(&names) + &line(&rule)
}
