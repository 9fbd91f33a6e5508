/// A program of this repository started by a test, with its listening addresses and signals.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <string>
#include <sys/types.h>
#include <vector>

namespace rml::test {

class child_process
{
public:
    /// Starts RML_PROGRAM_DIR/<program> and waits until it has printed `lines` lines that begin with
    /// "listening". Standard error goes to `log_file`. Throws std::runtime_error when the program ends or
    /// stays silent.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file, std::size_t lines = 1);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Address of the n-th "listening IP:PORT" line.
    endpoint address(std::size_t line = 0) const;
    /// Address of "name=IP:PORT" in the first line.
    endpoint named_address(const std::string& name) const;

    void terminate() const; ///< SIGTERM
    void kill_now();        ///< SIGKILL, and waits
    void freeze() const;    ///< SIGSTOP
    void resume() const;    ///< SIGCONT
    /// Waits for the end of the process; the exit code, or -1 when it still runs after `limit`.
    int wait_exit(milliseconds limit);
    bool running();
    pid_t id() const { return this->pid; }

private:
    void read_lines(int pipe, std::size_t lines);

    pid_t pid{-1};
    int exit_code{-1};
    std::vector<std::string> output;
};

} // namespace rml::test
