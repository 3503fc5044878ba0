//! Prints `docs/charts.md`.

use cicadabend::chart::{
    ChartError,
    Charts, //
};

fn main() -> Result<(), ChartError> {
    print!("{}", Charts::shared()?.to_markdown());
    Ok(())
}
