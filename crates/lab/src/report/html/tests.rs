use super::*;

#[test]
fn what_comes_from_outside_cannot_become_markup() {
    let mut page = Page::new("<script>x</script>");
    let mut table = Table::new(&["a&b"]);
    table.row(["<td>".into()]);
    page.text("\"<b>\"", Tone::Bad).list(["<li>".into()]).code("<i>").heading("<h2>").table(&table);
    let html = page.finish();
    for raw in ["<script>", "<b>", "<td><td>", "<i>", "<li><li>", "a&b"] {
        assert!(!html.contains(raw), "{raw}");
    }
}
