# Flags that every target of the project shares.
add_library(project_flags INTERFACE)
target_compile_options(project_flags INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
target_compile_definitions(project_flags INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ERROR_CODE_HEADER_ONLY)
target_include_directories(project_flags INTERFACE ${PROJECT_SOURCE_DIR} ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/libs ${PROJECT_SOURCE_DIR}/src/plugins)
target_link_libraries(project_flags INTERFACE Threads::Threads Boost::headers)

# Sanitizers instrument every target, the library's source that is compiled here included. GCC reports uninitialized
# values in Boost's headers that it does not report without a sanitizer.
if(SANITIZE STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -Wno-maybe-uninitialized)
    add_link_options(-fsanitize=address,undefined)
elseif(SANITIZE STREQUAL "thread")
    # Asio's fences are not understood by the sanitizer; the project relies on locks and strands only.
    add_compile_options(-fsanitize=thread -Wno-tsan -Wno-maybe-uninitialized)
    add_link_options(-fsanitize=thread)
elseif(SANITIZE)
    message(FATAL_ERROR "SANITIZE is '${SANITIZE}'; use address or thread")
endif()

# Adds the library NAME from the sources of the current folder, linked to the targets after it.
function(add_project_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC project_flags ${ARGN})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE project_flags ${ARGN})
    endif()
endfunction()

# Adds the Boost.Test program tst_NAME from the sources of the current folder and registers it with ctest.
function(add_project_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(tst_${name} ${sources} ${PROJECT_SOURCE_DIR}/tests/auto/testmain.cpp)
    target_compile_definitions(tst_${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(tst_${name} PRIVATE project_flags Boost::unit_test_framework ${ARGN})
    add_test(NAME ${name} COMMAND tst_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# Adds the benchmark program bench_NAME from the sources of the current folder.
function(add_project_benchmark name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(bench_${name} ${sources})
    target_link_libraries(bench_${name} PRIVATE project_flags ${ARGN})
endfunction()
