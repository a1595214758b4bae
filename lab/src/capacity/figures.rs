//! Collects the values of a slope's figures over its runs.

use super::record::{Figure, Point};

/// The figures collected so far.
#[derive(Clone, Debug, Default)]
pub struct Figures(Vec<Figure>);

impl Figures {
    /// Adds a measured value, which may differ between runs.
    pub fn measured(&mut self, name: &str, unit: &str, size: f64, value: f64) {
        self.add(name, unit, false, size, value);
    }

    /// Adds a deterministic count, which is equal in every run.
    pub fn counted(&mut self, name: &str, unit: &str, size: f64, value: f64) {
        self.add(name, unit, true, size, value);
    }

    fn add(&mut self, name: &str, unit: &str, exact: bool, size: f64, value: f64) {
        let at = self.0.iter().position(|figure| figure.name == name).unwrap_or(self.0.len());
        if at == self.0.len() {
            self.0.push(Figure {
                name: name.into(),
                unit: unit.into(),
                exact,
                points: Vec::new(),
                fit: None,
            });
        }
        let points = &mut self.0[at].points;
        match points.iter_mut().find(|point| point.size == size) {
            Some(point) => point.values.push(value),
            None => points.push(Point { size, values: vec![value] }),
        }
        points.sort_by(|a, b| a.size.total_cmp(&b.size));
    }

    /// Returns all figures, in the order in which they were first added.
    pub fn done(self) -> Vec<Figure> {
        self.0
    }
}

#[cfg(test)]
mod tests;
