// Child processes of the system tests.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsambay::system_test {

// Where a program comes from: the folder BALSAMBAY_BUILD_DIR, or BALSAMBAY_OTHER_BUILD_DIR, which
// is the same folder if it is not set.
enum class build : uint8_t { kFirst, kSecond };

std::string ProgramPath(const std::string& target, build source = build::kFirst);

// A TCP port below the ephemeral range that is free on all addresses. No other program that asks
// here gets it until this process ends, whether something listens on it or not.
int FreePort();

// One child process. Killed when the object goes away.
class child_process {
 public:
  child_process(const std::string& program, const std::vector<std::string>& arguments,
                const std::string& output_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int number) const;
  // Waits for the end; exit code, 128 + signal, or -1 when it still runs after `timeout_ms`.
  int Wait(int timeout_ms);
  // SIGKILL, then waits.
  void Kill();
  bool Running();
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int exit_code_ = 0;
  bool ended_ = false;
};

}  // namespace balsambay::system_test
