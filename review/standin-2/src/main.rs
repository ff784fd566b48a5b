//! The stand-ins and tests of the second review: `standin CASE FOLDER` runs a case and writes
//! `FOLDER/record.txt`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! TROUBLE=0 the disruption is left out.

mod case;
mod case_6;
mod case_7;
mod case_8;
mod clients;
mod memcached;
mod wire;
mod world;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let Some(folder) = arguments.next().map(std::path::PathBuf::from) else {
        println!("usage: standin CASE FOLDER");
        std::process::exit(case::COULD_NOT_RUN);
    };
    // Not a case, but the processes of one.
    if let ("stopping", Some(Ok(address))) = (name.as_str(), folder.to_str().map(str::parse)) {
        case_6::stopping(address);
    }
    // A panic of a stand-in is no verdict about the proxy.
    std::panic::set_hook(Box::new(|what| {
        println!("the case could not run: {what}");
        world::end_processes();
        std::process::exit(case::COULD_NOT_RUN);
    }));
    case::limit_time();
    let case = case::Case::new(folder);
    match name.as_str() {
        "6" => case_6::run(case),
        "7" => case_7::run(case),
        "8" => case_8::run(case),
        _ => case.could_not_run("no such case"),
    }
}
