# Functions that declare the targets of one library directory.

# One Catch2 main for all test programs; compiling it once saves seconds for each of them.
if(BALSAMBAY_TESTS)
  add_library(catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)
endif()

# balsambay_library(NAME [DEPS targets...]): static library `NAME` from src/**/*.cc.
function(balsambay_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cc)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC include PRIVATE src)
  target_link_libraries(${name} PUBLIC ${ARG_DEPS})
endfunction()

# balsambay_tests(NAME [DEPS targets...]): program `test_NAME` from tests/*.cc, run by CTest with a fixed
# rapidcheck seed so that the verdict is the same on each run.
function(balsambay_tests name)
  if(NOT BALSAMBAY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS tests/*.cc)
  add_executable(test_${name} ${sources})
  target_link_libraries(test_${name} PRIVATE ${name} catch_main rapidcheck ${ARG_DEPS})
  target_compile_definitions(test_${name} PRIVATE BALSAMBAY_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
  add_test(NAME ${name} COMMAND test_${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# balsambay_benchmarks(NAME [DEPS targets...]): one program `bench_FILE` for each benchmarks/*.cc. Benchmarks
# print JSON lines and are run by scripts/bench, not by CTest.
function(balsambay_benchmarks name)
  if(NOT BALSAMBAY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS benchmarks/*.cc)
  foreach(source IN LISTS sources)
    get_filename_component(stem ${source} NAME_WE)
    add_executable(bench_${stem} ${source})
    target_link_libraries(bench_${stem} PRIVATE ${name} ${ARG_DEPS})
  endforeach()
endfunction()

# balsambay_embed_charts(TARGET file.scxml...): embeds each chart as `balsambay::charts::STEM`, declared in
# the header "STEM_chart.h", so that diskless VMs need no files at run time.
function(balsambay_embed_charts target)
  set(dir ${CMAKE_CURRENT_BINARY_DIR}/charts)
  foreach(chart IN LISTS ARGN)
    get_filename_component(stem ${chart} NAME_WE)
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${chart})
    file(READ ${chart} text)
    set(header "#pragma once\n#include <string_view>\nnamespace balsambay::charts {\n// The chart's file name is the name.\ninline constexpr std::string_view ${stem} =  // NOLINT(readability-identifier-naming)\n    R\"scxml(${text})scxml\";\n}\n")
    file(GENERATE OUTPUT ${dir}/${stem}_chart.h CONTENT "${header}")
  endforeach()
  target_include_directories(${target} PRIVATE ${dir})
endfunction()
