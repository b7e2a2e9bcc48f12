//! Two forms of chart as SVG: lines over a number, and bars by name.

use derive_more::Display;
use derive_more::Error;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::cell::Mark;

/// The size of a chart, in pixels.
const SIZE: (u32, u32) = (860, 340);

/// One colour for each series, told apart by those who see no red or green.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(204, 121, 167),
    RGBColor(0, 158, 115),
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
];

/// The opacity of a mark.
const MARK_OPACITY: f64 = 0.12;

/// A chart could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
#[display("the chart {title:?} can't be drawn: {what}; look at the cells it is made of")]
pub struct ChartError {
    title: String,
    what: String,
}

/// A named line.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Line {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// What a chart of lines shows.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Lines<'a> {
    pub(super) title: &'a str,
    pub(super) x: &'a str,
    pub(super) y: &'a str,
    pub(super) series: Vec<Line>,
    pub(super) marks: &'a [Mark],
    // The least value of the upper end of the vertical axis.
    pub(super) top: f64,
}

/// What a chart of bars shows: for each name one value in each series.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Bars<'a> {
    pub(super) title: &'a str,
    pub(super) y: &'a str,
    pub(super) series: Vec<String>,
    pub(super) names: Vec<String>,
    pub(super) values: Vec<Vec<f64>>,
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn = Result<(), DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>>;

fn draw(title: &str, paint: impl FnOnce(&Area<'_>) -> Drawn) -> Result<String, ChartError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    let painted = area.fill(&WHITE).and_then(|()| paint(&area));
    let painted = painted.and_then(|()| area.present());
    drop(area);
    painted.map_err(|error| ChartError {
        title: title.to_owned(),
        what: error.to_string(),
    })?;
    Ok(svg)
}

/// Draws lines.
pub(super) fn lines(chart: &Lines<'_>) -> Result<String, ChartError> {
    draw(chart.title, |area| paint_lines(chart, area))
}

fn paint_lines(chart: &Lines<'_>, area: &Area<'_>) -> Drawn {
    let points = || chart.series.iter().flat_map(|l| l.points.iter());
    let left = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let right = points().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max);
    let (left, right) = if left < right {
        (left, right)
    } else {
        (0.0, 1.0)
    };
    let top = points().map(|p| p.1).fold(chart.top, f64::max) * 1.05;
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(left..right, 0.0..top)?;
    context
        .configure_mesh()
        .x_desc(chart.x)
        .y_desc(chart.y)
        .light_line_style(WHITE)
        .draw()?;
    let shades = chart.marks.iter().map(|mark| {
        let corners = [(mark.from.max(left), 0.0), (mark.until.min(right), top)];
        Rectangle::new(corners, BLACK.mix(MARK_OPACITY).filled())
    });
    context.draw_series(shades)?;
    let names = chart.marks.iter().map(|mark| {
        let at = (mark.from.max(left), top * 0.06);
        Text::new(format!(" {}", mark.name), at, ("sans-serif", 13))
    });
    context.draw_series(names)?;
    for (index, line) in chart.series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
        context
            .draw_series(series.point_size(2))?
            .label(line.name.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], colour.filled()));
    }
    context
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 13))
        .draw()
}

/// Draws bars.
pub(super) fn bars(chart: &Bars<'_>) -> Result<String, ChartError> {
    draw(chart.title, |area| paint_bars(chart, area))
}

fn paint_bars(chart: &Bars<'_>, area: &Area<'_>) -> Drawn {
    let all = chart.values.iter().flatten().copied();
    let top = all.fold(1e-6, f64::max) * 1.1;
    let right = chart.names.len().max(1) as f64;
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    // Names are written by hand below: the axis knows numbers only.
    context
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .y_desc(chart.y)
        .light_line_style(WHITE)
        .draw()?;
    let count = chart.series.len().max(1) as f64;
    let width = 0.8 / count;
    for (index, name) in chart.series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let values = chart.values.get(index).map_or(&[][..], Vec::as_slice);
        let boxes = values.iter().enumerate().map(|(place, value)| {
            let from = place as f64 + 0.1 + width * index as f64;
            Rectangle::new(
                [(from, 0.0), (from + width * 0.92, *value)],
                colour.filled(),
            )
        });
        context
            .draw_series(boxes)?
            .label(name.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], colour.filled()));
    }
    paint_names(chart, area, &context)?;
    context
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.3))
        .label_font(("sans-serif", 13))
        .draw()
}

type Plane<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedF64, RangedF64>>;
type RangedF64 = plotters::coord::types::RangedCoordf64;

fn paint_names(chart: &Bars<'_>, area: &Area<'_>, context: &Plane<'_, '_>) -> Drawn {
    use plotters::style::text_anchor::HPos;
    use plotters::style::text_anchor::Pos;
    use plotters::style::text_anchor::VPos;

    let style = TextStyle::from(("sans-serif", 13).into_font());
    let style = style.pos(Pos::new(HPos::Center, VPos::Top));
    for (place, name) in chart.names.iter().enumerate() {
        let (x, y) = context.backend_coord(&(place as f64 + 0.5, 0.0));
        area.draw(&Text::new(name.as_str(), (x, y + 10), &style))?;
    }
    Ok(())
}
