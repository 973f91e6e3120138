//! `hazelyoke-bench plot`: attainment and cost against load, all policies on one page.

use {
    crate::report::Report,
    anyhow::{Context, Result, anyhow, bail},
    argh::FromArgs,
    plotters::coord::{Shift, types::RangedCoordf64},
    plotters::prelude::{
        BLACK, BLUE, Cartesian2d, ChartBuilder, ChartContext, Circle, DrawingArea, DrawingBackend,
        IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
    },
    std::{collections::BTreeMap, fs, path::PathBuf},
};

/// Size of the page.
const SIZE: (u32, u32) = (900, 900);

/// draw attainment and wasted cost against load from the lines that `run` has written
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plot")]
pub struct Plot {
    /// file with lines of JSON from `run --out`
    #[argh(positional)]
    results: PathBuf,

    /// page to write, as SVG
    #[argh(positional)]
    page: PathBuf,
}

/// Points of one policy: load and value.
type Points = BTreeMap<String, Vec<(f64, f64)>>;

type Chart<'a, B> = ChartContext<'a, B, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

impl Plot {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error when the results can't be read or the page can't be written.
    pub fn run(self) -> Result<bool> {
        let text = fs::read_to_string(&self.results)
            .with_context(|| format!("can't read {}", self.results.display()))?;
        let mut reports = Vec::new();
        for (i, line) in text.lines().enumerate() {
            let report: Report = serde_json::from_str(line)
                .with_context(|| format!("{}:{}", self.results.display(), i + 1))?;
            reports.push(report);
        }
        if reports.is_empty() {
            bail!("{} holds no results", self.results.display());
        }
        let page = SVGBackend::new(&self.page, SIZE).into_drawing_area();
        draw(&page, &reports).map_err(|error| anyhow!("can't draw: {error}"))?;
        Ok(true)
    }
}

fn points(reports: &[Report], value: impl Fn(&Report) -> f64) -> Points {
    let mut points = Points::new();
    for report in reports {
        let point = (report.load, value(report) * 100.0);
        points.entry(report.policy.clone()).or_default().push(point);
    }
    for series in points.values_mut() {
        series.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    points
}

fn draw<B: DrawingBackend>(page: &DrawingArea<B, Shift>, reports: &[Report]) -> Result<(), String> {
    page.fill(&WHITE).map_err(|error| error.to_string())?;
    let halves = page.split_evenly((2, 1));
    let panels = [
        (
            "attained work at the busiest service, % of its capacity",
            points(reports, |report| report.used),
        ),
        (
            "endpoint time wasted, %",
            points(reports, |report| report.wasted),
        ),
    ];
    for (area, (title, points)) in halves.iter().zip(panels) {
        draw_panel(area, title, &points)?;
    }
    page.present().map_err(|error| error.to_string())
}

fn draw_panel<B: DrawingBackend>(
    area: &DrawingArea<B, Shift>,
    title: &str,
    points: &Points,
) -> Result<(), String> {
    let all = points.values().flatten();
    let most = all.fold((1.0_f64, 1.0_f64), |most, point| {
        (most.0.max(point.0), most.1.max(point.1))
    });
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most.0 * 1.05, 0.0..most.1 * 1.1)
        .map_err(|error| error.to_string())?;
    chart
        .configure_mesh()
        .x_desc("load, multiple of capacity")
        .draw()
        .map_err(|error| error.to_string())?;
    for (i, (policy, series)) in points.iter().enumerate() {
        let colour = [BLUE, RED, BLACK][i % 3];
        draw_series(&mut chart, policy, series, colour)?;
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| error.to_string())
}

fn draw_series<B: DrawingBackend>(
    chart: &mut Chart<'_, B>,
    policy: &str,
    series: &[(f64, f64)],
    colour: RGBColor,
) -> Result<(), String> {
    chart
        .draw_series(LineSeries::new(series.iter().copied(), colour))
        .map_err(|error| error.to_string())?
        .label(policy)
        .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour));
    let dots = series.iter().map(|point| Circle::new(*point, 4, colour));
    chart.draw_series(dots).map_err(|error| error.to_string())?;
    Ok(())
}
