//! Prints the page `docs/charts.md` from the compiled-in charts.

use cicadabend::chart::{
    ChartError,
    Charts, //
};

fn main() -> Result<(), ChartError> {
    print!("{}", Charts::shared()?.to_markdown());
    Ok(())
}
