# Functions that give every target of the project the same settings.

# Sets warnings, sanitizers and include folders of a target.
function(auburnhub_target_defaults target)
  target_compile_options(${target} PRIVATE -Wall -Wextra)
  if(AUBURNHUB_WARNINGS_AS_ERRORS)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
  if(AUBURNHUB_SANITIZER STREQUAL "thread")
    # Boost.Asio has fences that ThreadSanitizer does not follow; it uses them
    # beside locks that it does follow.
    target_compile_options(${target} PRIVATE -Wno-error=tsan)
  endif()
  if(AUBURNHUB_SANITIZER)
    target_compile_options(${target} PRIVATE
      -fsanitize=${AUBURNHUB_SANITIZER} -fno-omit-frame-pointer)
    target_link_options(${target} PRIVATE -fsanitize=${AUBURNHUB_SANITIZER})
  endif()
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
endfunction()

# Adds the static library Auburnhub<name> from the given sources.
function(auburnhub_add_library name)
  add_library(Auburnhub${name} STATIC ${ARGN})
  auburnhub_target_defaults(Auburnhub${name})
endfunction()

# Adds a program from one source file.
function(auburnhub_add_program name source)
  add_executable(${name} ${source})
  auburnhub_target_defaults(${name})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# Adds a Boost.Test program and registers it with CTest. The first argument
# names the test; LIBRARIES and SOURCES follow.
function(auburnhub_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "LIBRARIES;SOURCES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  auburnhub_target_defaults(${name})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
    AUBURNHUB_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    AUBURNHUB_BINARY_DIR="${PROJECT_BINARY_DIR}/bin")
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES}
    Boost::unit_test_framework)
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name} --report_level=short)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
