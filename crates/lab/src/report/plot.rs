//! Plots as SVG text: lines over time, loads of many nodes as a map, differences of pairs.
//!
//! Only forms are decided here; what a line means is its caller's. Text in a plot is left to the reader's fonts,
//! so a plot is the same on every machine. Colours are those of Okabe and Ito ("Color universal design", 2008),
//! which people with any kind of colour vision can tell apart.

use crate::experiment::paired::short;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use world::outcome::FaultMark;

const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(60, 60, 60),
];
const SHADE: RGBColor = RGBColor(213, 94, 0);
const INK: RGBColor = RGBColor(60, 60, 60);
const FONT: &str = "sans-serif";
const WIDTH: u32 = 960;
/// Room for what stands left of a plot; the same for all, so that plots over time stand in line.
const LABELS: u32 = 110;
/// Points of a line at most; longer ones are thinned.
const MOST_POINTS: usize = 1_200;
/// Nodes that a map shows by themselves.
pub const MOST_ROWS: usize = 64;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("a plot could not be drawn: {0}")]
pub struct PlotError(String);

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), Box<dyn std::error::Error>>;

/// A line; it breaks where there is no value.
#[derive(Clone, Debug)]
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, Option<f64>)>,
}

/// What a plot of lines says beside its lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Axes<'a> {
    pub x: &'a str,
    pub y: &'a str,
    /// Ends of the level axis, and of the upright one; as far as the lines go, and from 0 to a little over the
    /// highest value, if absent.
    pub span: Option<(f64, f64)>,
    pub range: Option<(f64, f64)>,
    pub faults: &'a [FaultMark],
}

fn draw(height: u32, paint: impl FnOnce(&Area<'_>) -> Drawn) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        paint(&area).and_then(|()| Ok(area.present()?)).map_err(|e| PlotError(e.to_string()))?;
    }
    Ok(text)
}

fn bounds(lines: &[Line]) -> ((f64, f64), f64) {
    let (mut from, mut to, mut top) = (f64::INFINITY, f64::NEG_INFINITY, 0.0_f64);
    for (x, y) in lines.iter().flat_map(|l| &l.points) {
        from = from.min(*x);
        to = to.max(*x);
        top = top.max(y.unwrap_or(0.0));
    }
    if from >= to {
        let at = if from.is_finite() { from } else { 0.0 };
        (from, to) = (at - 0.5, at + 0.5);
    }
    ((from, to), if top > 0.0 { top * 1.05 } else { 1.0 })
}

/// At most [`MOST_POINTS`] points of a line, each the mean of its neighbours.
fn thin(points: &[(f64, Option<f64>)]) -> Vec<(f64, Option<f64>)> {
    let group = points.len().div_ceil(MOST_POINTS).max(1);
    let mean = |chunk: &[(f64, Option<f64>)]| {
        let there: Vec<f64> = chunk.iter().filter_map(|(_, y)| *y).collect();
        let y = (!there.is_empty()).then(|| there.iter().sum::<f64>() / there.len() as f64);
        (chunk.iter().map(|(x, _)| x).sum::<f64>() / chunk.len() as f64, y)
    };
    points.chunks(group).map(mean).collect()
}

/// Lines over time, with the faults shaded behind them and named at the top.
pub fn lines(lines: &[Line], axes: Axes<'_>) -> Result<String, PlotError> {
    let (span, top) = bounds(lines);
    let (from, to) = axes.span.filter(|(from, to)| from < to).unwrap_or(span);
    let (low, high) = axes.range.unwrap_or((0.0, top));
    draw(280, |area| {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .margin_top(if lines.len() > 1 { 28 } else { 12 })
            .set_label_area_size(LabelAreaPosition::Left, LABELS)
            .set_label_area_size(LabelAreaPosition::Bottom, 36)
            .build_cartesian_2d(from..to, low..high)?;
        mark(&mut chart, axes.faults, (from, to), (low, high))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .bold_line_style(INK.mix(0.12))
            .light_line_style(TRANSPARENT)
            .axis_style(INK.mix(0.5))
            .label_style((FONT, 13).into_font().color(&INK))
            .axis_desc_style((FONT, 13).into_font().color(&INK))
            .x_label_formatter(&|x| short(*x))
            .y_label_formatter(&|y| short(*y))
            .x_desc(axes.x)
            .y_desc(axes.y)
            .draw()?;
        for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let points = thin(&line.points);
            for part in points.split(|(_, y)| y.is_none()).filter(|part| !part.is_empty()) {
                let part: Vec<(f64, f64)> =
                    part.iter().filter_map(|(x, y)| y.map(|y| (*x, y.clamp(low, high)))).collect();
                if let [only] = part[..] {
                    chart.draw_series([Circle::new(only, 2, colour.filled())])?;
                }
                chart.draw_series(LineSeries::new(part, colour.stroke_width(2)))?;
            }
        }
        if lines.len() > 1 {
            legend(area, lines)?;
        }
        Ok(())
    })
}

/// The lines' names in a row above the plot, where they hide nothing.
fn legend(area: &Area<'_>, lines: &[Line]) -> Drawn {
    let mut x = LABELS as i32 + 8;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        area.draw(&PathElement::new([(x, 14), (x + 18, 14)], colour.stroke_width(3)))?;
        area.draw(&Text::new(line.name.clone(), (x + 24, 7), (FONT, 13).into_font().color(&INK)))?;
        // Fonts differ from reader to reader; 8 pixels a letter is enough for any of them.
        x += 44 + 8 * line.name.chars().count() as i32;
    }
    Ok(())
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

fn mark(chart: &mut Chart<'_, '_>, faults: &[FaultMark], x: (f64, f64), y: (f64, f64)) -> Drawn {
    for (i, fault) in faults.iter().enumerate() {
        let from = fault.from_s.clamp(x.0, x.1);
        let until = fault.until_s.clamp(from, x.1);
        if until > from {
            let shade = Rectangle::new([(from, y.0), (until, y.1)], SHADE.mix(0.13).filled());
            chart.draw_series([shade])?;
        }
        let edge = PathElement::new([(from, y.0), (from, y.1)], SHADE.mix(0.6));
        chart.draw_series([edge])?;
        // Names of faults that follow closely stand below one another.
        let row = y.1 - (y.1 - y.0) * (0.02 + 0.065 * (i % 4) as f64);
        let name = Text::new(format!(" {}", fault.kind), (from, row), (FONT, 12).into_font().color(&SHADE));
        chart.draw_series([name])?;
    }
    Ok(())
}

/// How loaded each row is over time, light for idle to dark for full.
pub fn map(names: &[String], seconds: &[Vec<f64>], faults: &[FaultMark]) -> Result<String, PlotError> {
    let rows = names.len().min(MOST_ROWS);
    let group = seconds.len().div_ceil(MOST_POINTS / 4).max(1);
    let row_height = (360 / rows.max(1) as u32).clamp(8, 22);
    draw(80 + rows as u32 * row_height, |area| {
        area.fill(&WHITE)?;
        let width = seconds.len().max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .margin_top(20)
            .set_label_area_size(LabelAreaPosition::Left, LABELS)
            .set_label_area_size(LabelAreaPosition::Bottom, 36)
            .build_cartesian_2d(0.0..width, 0.0..rows.max(1) as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(0)
            .axis_style(INK.mix(0.5))
            .label_style((FONT, 13).into_font().color(&INK))
            .axis_desc_style((FONT, 13).into_font().color(&INK))
            .x_label_formatter(&|x| short(*x))
            .x_desc("s")
            .draw()?;
        for (i, part) in seconds.chunks(group).enumerate() {
            let from = (i * group) as f64;
            let until = from + part.len() as f64;
            for row in 0..rows {
                let there: Vec<f64> = part.iter().filter_map(|s| s.get(row).copied()).collect();
                if there.is_empty() {
                    continue;
                }
                let load = there.iter().sum::<f64>() / there.len() as f64;
                let y = (rows - 1 - row) as f64;
                let cell = Rectangle::new([(from, y + 0.06), (until, y + 0.94)], shade(load).filled());
                chart.draw_series([cell])?;
            }
        }
        for (row, name) in names.iter().take(rows).enumerate() {
            let (_, y) = chart.backend_coord(&(0.0, (rows - 1 - row) as f64 + 0.5));
            let style = (FONT, 12).into_font().color(&INK).pos(plotters::style::text_anchor::Pos::new(
                plotters::style::text_anchor::HPos::Right,
                plotters::style::text_anchor::VPos::Center,
            ));
            area.draw(&Text::new(name.clone(), (LABELS as i32, y), style))?;
        }
        for fault in faults {
            let from = fault.from_s.clamp(0.0, width);
            let edge = PathElement::new([(from, 0.0), (from, rows as f64)], SHADE.mix(0.8));
            chart.draw_series([edge])?;
        }
        Ok(())
    })
}

/// A stretch of a lane: from, until, and how dark it is, 0 to 1.
pub type Stretch = (f64, f64, f64);

/// A row of a picture of lanes.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    pub name: String,
    /// What it sees, as a shade.
    pub shades: Vec<Stretch>,
    /// When it is not there, and when it stands still: drawn over the shades.
    pub away: Vec<(f64, f64)>,
    pub still: Vec<(f64, f64)>,
    /// When it lacks somebody whom it should hear: a line along the lower edge, as dark as there are many.
    pub lacks: Vec<Stretch>,
}

const AWAY: RGBColor = RGBColor(200, 200, 200);
const STILL: RGBColor = RGBColor(230, 159, 0);
const LACKS: RGBColor = RGBColor(204, 121, 167);

/// A lane for each process over time, with the faults shaded behind all of them and named at the top.
pub fn lanes(lanes: &[Lane], span: (f64, f64), faults: &[FaultMark]) -> Result<String, PlotError> {
    let count = lanes.len().max(1) as u32;
    let height = (1_200 / count).clamp(12, 26);
    let (from, to) = if span.0 < span.1 { span } else { (0.0, 1.0) };
    draw(90 + count * height, |area| {
        area.fill(&WHITE)?;
        // One more row at the top for the names of faults.
        let top = f64::from(count) + 2.0;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .set_label_area_size(LabelAreaPosition::Left, LABELS)
            .set_label_area_size(LabelAreaPosition::Bottom, 36)
            .build_cartesian_2d(from..to, 0.0..top)?;
        mark(&mut chart, faults, (from, to), (0.0, top))?;
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(0)
            .axis_style(INK.mix(0.5))
            .label_style((FONT, 13).into_font().color(&INK))
            .axis_desc_style((FONT, 13).into_font().color(&INK))
            .x_label_formatter(&|x| short(*x))
            .x_desc("s")
            .draw()?;
        for (row, lane) in lanes.iter().enumerate() {
            let y = f64::from(count) - 1.0 - row as f64;
            let mut bar = |a: f64, b: f64, low: f64, high: f64, colour: RGBAColor| -> Drawn {
                let (a, b) = (a.clamp(from, to), b.clamp(from, to));
                if a < b {
                    let bar = Rectangle::new([(a, y + low), (b, y + high)], colour.filled());
                    chart.draw_series([bar])?;
                }
                Ok(())
            };
            bar(from, to, 0.12, 0.88, shade(0.0).mix(0.7))?;
            for (a, b, dark) in lane.shades.iter().filter(|(.., dark)| *dark > 0.0) {
                bar(*a, *b, 0.12, 0.88, shade(*dark).mix(1.0))?;
            }
            for (a, b, dark) in lane.lacks.iter().filter(|(.., dark)| *dark > 0.0) {
                bar(*a, *b, 0.0, 0.2, LACKS.mix(dark.clamp(0.3, 1.0)))?;
            }
            for (a, b) in &lane.away {
                bar(*a, *b, 0.12, 0.88, AWAY.mix(1.0))?;
            }
            for (a, b) in &lane.still {
                bar(*a, *b, 0.12, 0.88, STILL.mix(0.8))?;
            }
            let (_, middle) = chart.backend_coord(&(from, y + 0.5));
            let style = (FONT, 12).into_font().color(&INK).pos(plotters::style::text_anchor::Pos::new(
                plotters::style::text_anchor::HPos::Right,
                plotters::style::text_anchor::VPos::Center,
            ));
            area.draw(&Text::new(lane.name.clone(), (LABELS as i32, middle), style))?;
        }
        Ok(())
    })
}

/// From almost white at 0 to dark blue at 1 and above.
fn shade(load: f64) -> RGBColor {
    let part = load.clamp(0.0, 1.0);
    let mix = |from: f64, to: f64| (from + (to - from) * part) as u8;
    RGBColor(mix(238.0, 0.0), mix(244.0, 60.0), mix(249.0, 110.0))
}

/// A dot for each value in its row of names, and a bar from the least to the most of them: points of a sweep, or
/// the pairs of a comparison.
pub fn dots(rows: &[(String, Vec<f64>)], y: &str) -> Result<String, PlotError> {
    let all = || rows.iter().flat_map(|(_, v)| v).copied().filter(|v| v.is_finite());
    let (low, high) = (all().fold(f64::INFINITY, f64::min), all().fold(f64::NEG_INFINITY, f64::max));
    let (low, high) = if low.is_finite() { (low, high) } else { (0.0, 1.0) };
    let room = if high > low { (high - low) * 0.08 } else { 0.01_f64.max(high.abs() * 0.1) };
    draw(300, |area| {
        area.fill(&WHITE)?;
        let count = rows.len().max(1);
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .set_label_area_size(LabelAreaPosition::Left, LABELS)
            .set_label_area_size(LabelAreaPosition::Bottom, 36)
            .build_cartesian_2d(-0.5..count as f64 - 0.5, low - room..high + room)?;
        let name = |x: &f64| {
            let i = x.round();
            let row = if (x - i).abs() < 1e-6 && i >= 0.0 { rows.get(i as usize) } else { None };
            row.map_or(String::new(), |(name, _)| name.clone())
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * count.min(20) + 1)
            .x_label_formatter(&name)
            .y_label_formatter(&|y| short(*y))
            .bold_line_style(INK.mix(0.12))
            .light_line_style(TRANSPARENT)
            .axis_style(INK.mix(0.5))
            .label_style((FONT, 13).into_font().color(&INK))
            .axis_desc_style((FONT, 13).into_font().color(&INK))
            .y_desc(y)
            .draw()?;
        if low < 0.0 && high > 0.0 {
            let zero = PathElement::new([(-0.5, 0.0), (count as f64 - 0.5, 0.0)], INK.mix(0.6));
            chart.draw_series([zero])?;
        }
        for (i, (_, values)) in rows.iter().enumerate() {
            let x = i as f64;
            let values: Vec<f64> = values.iter().copied().filter(|v| v.is_finite()).collect();
            chart
                .draw_series(values.iter().map(|v| Circle::new((x, *v), 3, COLOURS[0].mix(0.55).filled())))?;
            if !values.is_empty() {
                let mean = values.iter().sum::<f64>() / values.len() as f64;
                let bar = PathElement::new([(x - 0.2, mean), (x + 0.2, mean)], COLOURS[1].stroke_width(3));
                chart.draw_series([bar])?;
            }
        }
        Ok(())
    })
}

#[cfg(test)]
mod tests;
