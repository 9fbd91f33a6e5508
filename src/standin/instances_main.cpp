#include "standin/instances.hpp"
#include "standin/standin.hpp"

#include <fstream>
#include <sstream>

namespace {

using namespace rml;

result<std::string> read_file(const std::string& path)
{
    if (path.empty()) {
        return std::string(R"({"instances":[]})");
    }
    std::ifstream file(path);
    if (!file) {
        return failure{failure_kind::not_found, "cannot read " + path};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace

int main(int argc, char** argv)
{
    std::string path;
    std::int64_t lag = 2000;
    command_line line("rml-standin-instances", standin::instances_server::fault_help());
    line.add("file", path, "File with the first list, as GET /v1/instances answers it");
    line.add("lag-ms", lag, "Age at which a replaced list becomes visible");
    boost::asio::io_context context(1);
    std::unique_ptr<standin::instances_server> server;
    return standin::run_program(context, line, argc, const_cast<const char**>(argv),
                                [&](const endpoint& listen) -> result<std::vector<endpoint>> {
                                    const auto initial = read_file(path);
                                    if (failed(initial)) {
                                        return error(initial);
                                    }
                                    auto created = standin::instances_server::create(
                                        context, listen, milliseconds(lag), value(initial));
                                    if (failed(created)) {
                                        return error(created);
                                    }
                                    server = value(std::move(created));
                                    return std::vector<endpoint>{server->local()};
                                });
}
