//! Stand-ins and checks for the cases of this review; the first argument names the case.

mod case_fatal;
mod case_gone;
mod case_writer;
mod client;
mod engine;
mod fleet;
mod http;
mod model_engine;
mod record;
mod words;

use record::Record;

fn main() {
    std::panic::set_hook(Box::new(|panic| {
        println!("the stand-in failed: {panic}");
    }));
    let case = std::env::args().nth(1).unwrap_or_default();
    let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&path);
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        println!("the case took too long");
        fleet::end_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "fatal" => case_fatal::run(&record, has_trouble),
        "writer" => case_writer::run(&record, has_trouble),
        "gone" => case_gone::run(&record, has_trouble),
        _ => println!("no such case: {case}"),
    }));
    let _ = outcome;
    fleet::end_all();
    std::process::exit(2);
}
