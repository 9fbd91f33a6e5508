#include "standin/service.hpp"
#include "standin/standin.hpp"

int main(int argc, char** argv)
{
    using namespace rml;
    std::string name = "service";
    command_line line("rml-standin-service", standin::service_server::fault_help());
    line.add("name", name, "Name that the answers carry");
    boost::asio::io_context context(1);
    std::unique_ptr<standin::service_server> server;
    return standin::run_program(context, line, argc, const_cast<const char**>(argv),
                                [&](const endpoint& listen) -> result<std::vector<endpoint>> {
                                    auto created = standin::service_server::create(context, listen, name);
                                    if (failed(created)) {
                                        return error(created);
                                    }
                                    server = value(std::move(created));
                                    return std::vector<endpoint>{server->local()};
                                });
}
