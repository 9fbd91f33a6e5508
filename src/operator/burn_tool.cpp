#include "operator/burn_tool.hpp"

#include "decision/burn.hpp"
#include "operator/burn_page.hpp"
#include "operator/daemon_client.hpp"

#include <algorithm>
#include <fstream>

namespace rml {

namespace {

class burn_run
{
public:
    burn_run(const burn_tool_options& options, std::ostream& out, std::ostream& err)
        : options(options), out(out), err(err)
    {
    }

    exit_code run()
    {
        if (this->options.files.empty() && this->options.entries.empty()) {
            this->err << "rml-burn: needs --entry or files\n";
            return exit_code::usage_error;
        }
        for (const auto& file : this->options.files) {
            this->read_file(file);
        }
        this->read_daemons();
        const auto report = make_burn_report(this->ledger, this->options.now, this->options.period);
        this->out << (this->options.json ? render_burn_json(report) : render_burn_table(report));
        if (!this->options.html.empty()) {
            this->write(this->options.html, render_burn_html(report, this->ledger), std::ios::trunc);
        }
        return this->code;
    }

private:
    void report_problem(exit_code worse, const std::string& text)
    {
        this->err << "rml-burn: " << text << "\n";
        this->code = std::max(this->code, worse);
    }

    void merge(const std::string& text, const std::string& from)
    {
        const auto decoded = decode_burn(text);
        if (failed(decoded)) {
            this->report_problem(exit_code::invalid_settings, from + ": " + error(decoded).context);
            return;
        }
        this->ledger.merge(value(decoded));
    }

    void read_file(const std::string& file)
    {
        std::ifstream input(file);
        if (!input) {
            this->report_problem(exit_code::operation_failed, file + ": cannot be read");
            return;
        }
        std::string line;
        for (std::size_t number = 1; std::getline(input, line); ++number) {
            if (!line.empty()) {
                this->merge(line, file + ":" + std::to_string(number));
            }
        }
    }

    void read_daemons()
    {
        const daemon_client daemons(this->options.token, this->options.call_timeout);
        std::string lines;
        for (const auto& entry : this->options.entries) {
            auto body = daemons.get_burn(entry);
            if (failed(body)) {
                this->report_problem(exit_code::unavailable, error(body).context);
                continue;
            }
            // A snapshot is saved as one line, so line breaks of the answer are replaced.
            std::replace(value(body).begin(), value(body).end(), '\n', ' ');
            this->merge(value(body), to_string(entry));
            lines += value(body) + "\n";
        }
        if (!this->options.save.empty()) {
            this->write(this->options.save, lines, std::ios::app);
        }
    }

    void write(const std::string& file, const std::string& text, std::ios::openmode mode)
    {
        std::ofstream output(file, mode);
        output << text;
        output.flush();
        if (!output) {
            this->report_problem(exit_code::operation_failed, file + ": cannot be written");
        }
    }

    const burn_tool_options& options;
    std::ostream& out;
    std::ostream& err;
    burn_ledger ledger;
    exit_code code{exit_code::success};
};

} // namespace

exit_code run_burn(const burn_tool_options& options, std::ostream& out, std::ostream& err)
{
    return burn_run(options, out, err).run();
}

} // namespace rml
